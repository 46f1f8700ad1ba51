/*
 * Guards against an owner on the far side of a narrow link to the store while VMs near the store could own the cell, and against a cell
 * without an owner when these are lost or when a measurement is wrong.
 */
import { type KeyVersion, ManualClock, regionName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    CellView,
    chooseSuccessor,
    claimDelay,
    createMemoryChannel,
    type EntryVm,
    isMuchBetterOwner,
    type OwnerMessage,
    OwnerPlacement,
    vmKey,
    VmLink,
    type VmMessage,
} from "../../src/index.js";
import { makeVm } from "../support/index.js";
import { farHall, makeFarVm, makeNearVm, nearHall, twoRegions } from "../support/regions.js";

const placement = new OwnerPlacement(twoRegions);

const viewOf = (vms: readonly EntryVm[]): CellView => {
    const view = new CellView(new ManualClock());
    const version = 1 as KeyVersion;
    view.replace({
        entries: vms.map(vm => ({ key: vmKey(vm.name), value: JSON.stringify(vm), version })),
        cursor: "1",
    });
    return view;
};

const delaysOf = (vms: readonly EntryVm[], usedPlacement = placement): number[] => {
    const view = viewOf(vms);
    return vms.map(self =>
        claimDelay({
            view,
            self,
            now: 0,
            ownerSilence: Infinity,
            lastOwnerSilence: undefined,
            terminatedOwner: undefined,
            isTakeoverRequested: false,
            preferred: usedPlacement.preferredOf(view.vms.values()),
        })
    );
};

const nameOfSuccessor = (vms: readonly EntryVm[], owner: string): string | undefined =>
    chooseSuccessor(
        vms.map(vm => new VmLink(vm, createMemoryChannel<OwnerMessage, VmMessage>()[0], new ManualClock())),
        owner,
        placement.preferredOf(vms),
    )?.vm.name;

const near = [makeNearVm("near-1", { processorShare: 0.8 }), makeNearVm("near-2", { processorShare: 0.7 })];
const far = [makeFarVm("far-1"), makeFarVm("far-2", { processorShare: 0.9 })];

describe("where the store is near one of two regions", () => {
    it("VMs near it claim the cell before larger ones that are far", () => {
        const [near1, near2, far1, far2] = delaysOf([...near, ...far]);
        expect([near1, near1 < near2, near2 < far1, far1 < far2]).toEqual([0, true, true, true]);
    });

    it("a far VM owns the cell when the near ones are lost, and hands it back when one returns", () => {
        expect(delaysOf(far)[0]).toEqual(0);
        expect(nameOfSuccessor([...far, ...near], "far-1")).toEqual("near-1");
        const preferred = placement.preferredOf([...far, ...near]);
        expect(isMuchBetterOwner(near[0], far[0], preferred)).toEqual(true);
        expect(isMuchBetterOwner(far[0], near[0], preferred)).toEqual(false);
        expect(isMuchBetterOwner(makeFarVm("far-3", { processorShare: 1.5 }), near[0], preferred)).toEqual(false);
    });

    it("a far VM waits only for a fixed time while lost near ones are still listed", () => {
        const manyNear = Array.from({ length: 20 }, (_, index) => makeNearVm(`near-${index}`));
        const [longest] = delaysOf([...manyNear, ...far]).slice(-2);
        expect(longest > 0 && longest <= 500).toEqual(true);
    });

    it("near VMs of less than half the largest size are not preferred", () => {
        const small = makeNearVm("near-1", { processorShare: 0.4 });
        expect(placement.preferredOf([small, ...far])).toEqual(undefined);
        expect(delaysOf([small, ...far])[1]).toEqual(0);
    });

    it("a wrong measurement of one VM changes nothing, and wrong ones of all change only delays", () => {
        const others = Array.from({ length: 4 }, (_, index) => makeFarVm(`far-1${index}`));
        const manyNear = [...near, ...Array.from({ length: 4 }, (_, index) => makeNearVm(`near-1${index}`))];
        const right = placement.preferredOf([...manyNear, ...far, ...others]);
        const wrongFar = placement.preferredOf([...manyNear, ...far, ...others, makeFarVm("wrong", { storeTime: 1 })]);
        expect([...wrongFar ?? []]).toEqual([...right ?? []]);
        const wrong = [
            ...near.map(vm => ({ ...vm, storeTime: 400 })),
            ...far.map(vm => ({ ...vm, storeTime: 1 })),
        ];
        expect(delaysOf(wrong).every(delay => delay < 1_000)).toEqual(true);
    });

    it("VMs that publish no measurement, as those of earlier versions, count by their region", () => {
        const old = makeVm("old", { dataHall: nearHall });
        expect([...placement.preferredOf([old, ...near, ...far]) ?? []]).toEqual(["old", "near-1", "near-2"]);
        expect(placement.preferredOf([old, makeVm("old-far", { dataHall: farHall })])).toEqual(undefined);
    });

    it("small differences count for nothing", () => {
        const slightly = [...near, ...far.map(vm => ({ ...vm, storeTime: 9 }))];
        expect(placement.preferredOf(slightly)).toEqual(undefined);
    });
});

describe("with one region", () => {
    it("every decision is as without measurements", () => {
        const one = new OwnerPlacement(new Map([[nearHall, regionName("near")], [farHall, regionName("near")]]));
        const vms = [...near, ...far];
        const unmeasured = vms.map(vm => makeVm(vm.name, { dataHall: vm.dataHall, processorShare: vm.processorShare }));
        expect(one.preferredOf(vms)).toEqual(undefined);
        expect(new OwnerPlacement(new Map()).preferredOf(vms)).toEqual(undefined);
        expect(delaysOf(vms, one)).toEqual(delaysOf(unmeasured));
        expect(isMuchBetterOwner(makeFarVm("larger", { processorShare: 1.5 }), far[0], undefined)).toEqual(true);
        expect(isMuchBetterOwner(far[0], near[0], undefined)).toEqual(false);
    });
});
