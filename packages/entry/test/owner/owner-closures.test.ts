/* Guards against an owner that misses an operator's key read while its session was being set up. */
import type { CellConfiguration, HallClosures, WorkerDirectory } from "@pebbledale/cell";
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
import { configuration } from "../support/configuration.js";
import { makeVm, RecordingLogger, settle } from "../support/index.js";

const hall = dataHallName("hall-a");
let stop = new AbortController();

const setUp = () => {
    stop = new AbortController();
    const clock = new ManualClock();
    const logger = new RecordingLogger();
    const known: { configuration: CellConfiguration | undefined; waveReadings: number; } = {
        configuration: undefined,
        waveReadings: 0,
    };
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
        configuration: () => known.configuration,
        waves: () => {
            known.waveReadings++;
            return [];
        },
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
    const versions: number[] = [];
    vmEnd.onMessage = message => {
        if (message.kind === "closed-halls") {
            received.push(message.closures);
        }
        else if (message.kind === "configuration-version") {
            versions.push(message.version);
        }
    };
    session.connect(makeVm("vm-1"), ownerEnd);
    return { session, halls, received, known, versions };
};

describe("an owner whose VM reads operators' keys before the session runs", () => {
    afterEach(() => stop.abort());

    it("applies a closure and tells the VMs that have connected", async () => {
        const { session, halls, received } = setUp();
        halls.replace({ closed: [hall], reopened: [], revision: 4 });
        void session.run();
        await settle();
        expect(received).toEqual([{ halls: [hall], revision: 4 }]);
    });

    it("applies a configuration, tells the VMs, and takes up waves of upkeep", async () => {
        const { session, known, versions } = setUp();
        const readingsBefore = known.waveReadings;
        known.configuration = { ...configuration, version: 7 };
        void session.run();
        await settle();
        expect([versions, known.waveReadings > readingsBefore]).toEqual([[7], true]);
    });
});
