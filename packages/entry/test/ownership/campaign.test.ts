import { type KeyVersion, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type CampaignInput,
    CellView,
    claimDelay,
    isCellForming,
    isOwnershipStable,
    ownerKey,
    ownerSilentReason,
    reasonToClaim,
    vmKey,
} from "../../src/index.js";
import { makeVm } from "../support/index.js";

const self = makeVm("b");

const viewOf = (owner: object | undefined, ...names: string[]): CellView => {
    const view = new CellView(new ManualClock());
    const version = 1 as KeyVersion;
    const entries = names.map(name => ({ key: vmKey(name), value: JSON.stringify(makeVm(name)), version }));
    const ownerEntry = owner === undefined ? [] : [{ key: ownerKey, value: JSON.stringify(owner), version }];
    view.replace({ entries: [...entries, ...ownerEntry], cursor: "1" });
    return view;
};

const input = (changes: Partial<CampaignInput>): CampaignInput => ({
    view: viewOf(undefined, "a", "b"),
    self,
    now: 1_000,
    ownerSilence: Infinity,
    lastOwnerSilence: undefined,
    terminatedOwner: undefined,
    isTakeoverRequested: false,
    ...changes,
});

const owner = { name: "a", address: "127.0.0.1:1", process: "process-of-a" };

describe("a VM claims the cell", () => {
    it("when there is no owner", () => {
        expect(reasonToClaim(input({}))).toEqual("there is no owner");
    });

    it("not while the owner is heard although its key is missing, as it will restore the key", () => {
        expect(reasonToClaim(input({ ownerSilence: 100 }))).toEqual(undefined);
    });

    it("when an owner that is heard does not restore its missing key", () => {
        const found = reasonToClaim(input({ ownerSilence: 100, now: 2_000 }));
        expect(found).toEqual("the owner has not restored its key");
    });

    it("not before it has read the membership from the store", () => {
        expect(reasonToClaim(input({ view: new CellView(new ManualClock()) }))).toEqual(undefined);
    });

    it("not while VMs are still joining, as larger ones may follow", () => {
        expect(isCellForming(input({ now: 50 }))).toEqual(true);
        expect(isCellForming(input({ now: 500 }))).toEqual(false);
    });

    it("not while another VM owns it that was never heard", () => {
        expect(reasonToClaim(input({ view: viewOf(owner, "a", "b") }))).toEqual(undefined);
    });

    it("when the owner's VM has restarted since, without waiting for the owner's key to expire", () => {
        const view = viewOf(owner, "a", "b");
        const restarted = { key: vmKey("a"), value: JSON.stringify(makeVm("a", { process: "next" })) };
        view.apply({ changed: [{ ...restarted, version: 2 as KeyVersion }], removed: [], cursor: "2" });
        expect(reasonToClaim(input({ view }))).toEqual("the owner's process is gone");
    });

    it("not when the owner is a later process than the one that its VM has registered", () => {
        const view = viewOf(owner, "a", "b");
        const later = { key: ownerKey, value: JSON.stringify({ ...owner, process: "next" }) };
        view.apply({ changed: [{ ...later, version: 2 as KeyVersion }], removed: [], cursor: "2" });
        expect(reasonToClaim(input({ view }))).toEqual(undefined);
    });

    it("through the passage of time alone only when there is no owner or the owner may be silent", () => {
        const view = viewOf(owner, "a", "b");
        expect([
            isOwnershipStable(input({ view })),
            isOwnershipStable(input({})),
            isOwnershipStable(input({ view, lastOwnerSilence: 200 })),
        ])
            .toEqual([true, false, false]);
    });

    it("when an owner that was heard falls silent, if the other VMs do not hear it either", () => {
        const view = viewOf(owner, "a", "b");
        expect(reasonToClaim(input({ view, lastOwnerSilence: 200 }))).toEqual(undefined);
        expect(reasonToClaim(input({ view, lastOwnerSilence: 500 }))).toEqual(ownerSilentReason);
    });

    it("not because of an earlier owner's silence: a new owner is given time for its first message", () => {
        const view = viewOf(owner, "a", "b");
        view.ownerSince = 1_000;
        expect(reasonToClaim(input({ view, now: 1_300, lastOwnerSilence: 900 }))).toEqual(undefined);
        expect(reasonToClaim(input({ view, now: 2_100, lastOwnerSilence: 1_700 }))).toEqual(ownerSilentReason);
    });

    it("at once when the owner's process is known to be gone", () => {
        const found = reasonToClaim(input({ view: viewOf(owner, "a", "b"), terminatedOwner: owner.process }));
        expect(found).toEqual("the owner's process is gone");
    });

    it("when the key belongs to its earlier process or to an unanswered claim of this one", () => {
        const earlier = reasonToClaim(input({ view: viewOf({ ...owner, name: "b", process: "old" }, "b") }));
        const lost = reasonToClaim(input({ view: viewOf({ ...owner, name: "b", process: self.process }, "b") }));
        expect(earlier).toEqual("an earlier process of this VM is the owner");
        expect(lost).toEqual("an earlier claim of this process had no answer");
    });

    it("without delay when the owner asks it to", () => {
        const asked = input({ view: viewOf(owner, "a", "b"), isTakeoverRequested: true });
        expect(reasonToClaim(asked)).toEqual("the owner hands over");
        expect(claimDelay(asked)).toEqual(0);
    });
});

describe("candidates", () => {
    it("let larger VMs claim first, then those with a lower name", () => {
        const view = viewOf(undefined, "a", "b", "c");
        expect(claimDelay(input({ view })) > 0).toEqual(true);
        expect(claimDelay(input({ view, self: makeVm("a") }))).toEqual(0);
        expect(claimDelay(input({ view, self: makeVm("c", { processorShare: 2 }) }))).toEqual(0);
    });
});
