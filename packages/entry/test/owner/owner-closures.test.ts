/* Guards against an owner that misses a closure read while its session was being set up. */
import type { HallClosures, WorkerDirectory } from "@pebbledale/cell";
import { dataHallName, epoch, type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { afterEach, describe, it } from "node:test";
import {
    createMemoryChannel,
    EntryMetrics,
    HallClosureWatch,
    type OwnerMessage,
    OwnerSession,
    type VmMessage,
} from "../../src/index.js";
import { makeVm, RecordingLogger, settle } from "../support/index.js";

const hall = dataHallName("hall-a");
const stop = new AbortController();

const setUp = () => {
    const clock = new ManualClock();
    const logger = new RecordingLogger();
    const halls = new HallClosureWatch({ logger, onChange: () => undefined });
    const session = new OwnerSession({
        journal: { epoch: epoch(1), silentFor: () => 0, setSnapshotSource: () => undefined } as unknown as Journal,
        contents: { epoch: epoch(1), snapshot: undefined, records: [] },
        directory: { list: () => new Promise(() => undefined) } as unknown as WorkerDirectory,
        followLimits: { wait: 600, slack: 600 },
        clock,
        logger,
        metrics: new EntryMetrics(),
        name: "vm-0",
        configuration: undefined,
        formerLeaseLength: 1_000,
        confirmedAt: () => clock.monotonic(),
        keyConfirmedAt: () => clock.monotonic(),
        ownerLeaseLength: 1_000,
        confirm: () => undefined,
        lost: stop,
        onSilentVm: () => undefined,
        onBetterVm: () => undefined,
        isIsolated: () => false,
        onConfiguration: () => undefined,
        toleratedHallLosses: 0,
        regions: new Map(),
        preferred: () => undefined,
        closures: () => halls.closures,
        operatorsCopy: () => undefined,
        onClosures: closures => halls.applyPeers(closures),
        upkeep: undefined,
    });
    const received: HallClosures[] = [];
    const [ownerEnd, vmEnd] = createMemoryChannel<OwnerMessage, VmMessage>();
    vmEnd.onMessage = message => message.kind === "closed-halls" && received.push(message.closures);
    session.connect(makeVm("vm-1"), ownerEnd);
    return { session, halls, received };
};

describe("an owner whose VM reads closures before the session runs", () => {
    afterEach(() => stop.abort());

    it("applies a closure and tells the VMs that have connected", async () => {
        const { session, halls, received } = setUp();
        halls.replace({ closed: [hall], reopened: [], revision: 4 });
        void session.run();
        await settle();
        expect(received).toEqual([{ halls: [hall], revision: 4 }]);
    });
});
