/* Guards against an owner that stays on the far side of a narrow link to the store, and against one that moves there. */
import type { WorkerDirectory } from "@pebbledale/cell";
import { epoch, type Journal, ManualClock } from "@pebbledale/core";
import { createAbortController } from "@pebbledale/runtime";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    createMemoryChannel,
    EntryMetrics,
    type EntryVm,
    type OwnerMessage,
    OwnerPlacement,
    OwnerSession,
    type VmMessage,
} from "../../src/index.js";
import { configuration } from "../support/configuration.js";
import { advanceTime, makeVm, RecordingLogger } from "../support/index.js";
import { makeFarVm, makeNearVm, twoRegions } from "../support/regions.js";

const never = () => new Promise<never>(() => undefined);

/** Resolves to how often an owner offers the cell within a while in which a VM is connected. */
const countOffers = async (own: EntryVm, other: EntryVm, placement: OwnerPlacement, connectedFor: number) => {
    const clock = new ManualClock();
    const lost = createAbortController();
    let offers = 0;
    const journal = {
        epoch: epoch(1),
        setSnapshotSource: () => undefined,
        waitingFor: () => 0,
        silentFor: () => 0,
        append: () => Promise.resolve(),
    } as unknown as Journal;
    const session = new OwnerSession({
        journal,
        contents: { epoch: epoch(1), snapshot: undefined, records: [] },
        directory: { readAll: never, changes: never } as unknown as WorkerDirectory,
        followLimits: { wait: 600, slack: 600 },
        clock,
        logger: new RecordingLogger(),
        metrics: new EntryMetrics(),
        name: own.name,
        regions: twoRegions,
        configuration: () => configuration,
        waves: () => [],
        formerLeaseLength: 1_000,
        confirmedAt: () => clock.monotonic(),
        keyConfirmedAt: () => clock.monotonic(),
        ownerLeaseLength: 1_000,
        confirm: () => undefined,
        lost,
        onSilentVm: () => undefined,
        preferred: () => placement.preferredOf([own, other]),
        onBetterVm: () => offers++,
        isIsolated: () => false,
        onConfiguration: () => undefined,
        toleratedHallLosses: 0,
        closures: () => ({ halls: [], revision: 0 }),
        operatorsCopy: () => undefined,
        onClosures: () => undefined,
        upkeep: undefined,
    });
    void session.run();
    const beats: (() => void)[] = [];
    for (const vm of [own, other]) {
        const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
        session.connect(vm, ownerEnd);
        beats.push(() => vmEnd.send({ kind: "beat" }));
    }
    for (let time = 0; time < connectedFor; time += 200) {
        beats.forEach(beat => beat());
        await advanceTime(clock, 200);
    }
    lost.abort();
    return offers;
};

const regions = new OwnerPlacement(twoRegions);

describe("an owner that is far from the store", () => {
    it("offers the cell to a near VM that has been connected for a while, also to a smaller one", async () => {
        const near = makeNearVm("near", { processorShare: 0.6 });
        expect(await countOffers(makeFarVm("far"), near, regions, 2_600)).toEqual(0);
        expect(await countOffers(makeFarVm("far"), near, regions, 4_000) > 0).toEqual(true);
    });

    it("keeps the cell when the near VM is less than half its size", async () => {
        const near = makeNearVm("near", { processorShare: 0.4 });
        expect(await countOffers(makeFarVm("far"), near, regions, 4_000)).toEqual(0);
    });
});

describe("an owner near the store", () => {
    it("keeps the cell when a far VM is much larger, as long as it has half that size", async () => {
        const far = makeFarVm("far", { processorShare: 1.9 });
        expect(await countOffers(makeNearVm("near"), far, regions, 4_000)).toEqual(0);
        const larger = makeFarVm("far", { processorShare: 2.1 });
        expect(await countOffers(makeNearVm("near"), larger, regions, 4_000) > 0).toEqual(true);
    });
});

describe("an owner of a cell in one region", () => {
    it("offers the cell to a much larger VM, wherever that is", async () => {
        const one = new OwnerPlacement(new Map());
        const [own, larger] = [makeVm("own"), makeFarVm("larger", { processorShare: 1.5 })];
        expect(await countOffers(own, larger, one, 4_000) > 0).toEqual(true);
        expect(await countOffers(own, makeFarVm("other", { processorShare: 1.4 }), one, 4_000)).toEqual(0);
    });
});
