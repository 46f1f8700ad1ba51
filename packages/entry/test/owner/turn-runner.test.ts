import type { AdviceDispatcher, CellScheduler, TurnOutput } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock, type Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Assignments, TurnRunner } from "../../src/index.js";
import { advanceTime, settle } from "../support/index.js";

const emptyTurn: TurnOutput = {
    records: [],
    commands: [],
    questions: [],
    acknowledgements: new Map(),
    changedJobs: new Set(),
};

/** A cell that always requests another scheduling cycle. */
const busyCell = () => {
    const counts = { turns: 0, cycles: 0 };
    const cell = {
        needsCycle: true,
        drain: () => {
            counts.turns++;
            return emptyTurn;
        },
        turnCommitted: () => undefined,
        place: () => void counts.cycles++,
    };
    return { counts, cell: cell as unknown as CellScheduler };
};

const appended: unknown[] = [];

const makeRunner = (
    cell: CellScheduler,
    clock = new ManualClock(),
    confirmedAt: () => Milliseconds = () => clock.monotonic(),
): TurnRunner =>
    new TurnRunner({
        cell,
        journal: {
            append: async (records: readonly unknown[]) => void appended.push(...records),
        } as unknown as Journal,
        clock,
        confirmedAt,
        confirm: () => undefined,
        advice: { ask: () => undefined } as unknown as AdviceDispatcher,
        assignments: {} as Assignments,
        lost: new AbortController(),
        onNewWorkers: () => undefined,
    });

describe("turns during a handover", () => {
    it("run no scheduling cycles and do not repeat while work is waiting", async () => {
        const { counts, cell } = busyCell();
        const runner = makeRunner(cell);
        runner.freeze();
        runner.schedule();
        await settle();
        expect(counts).toEqual({ turns: 1, cycles: 0 });
    });

    it("write no more records, so that the journal stays as the next owner has read it", async () => {
        const { cell } = busyCell();
        const turn: TurnOutput = { ...emptyTurn, records: [{ kind: "forgotten", job: jobId("late") }] };
        const runner = makeRunner({ ...cell, drain: () => turn } as unknown as CellScheduler);
        runner.freeze();
        await runner.run();
        expect(appended).toEqual([]);
    });
});

describe("turns of an owner that may have been suspended", () => {
    it("neither decide nor send anything before the store has confirmed its ownership", async () => {
        const { counts, cell } = busyCell();
        const clock = new ManualClock();
        let confirmedAt = 0;
        const runner = makeRunner(cell, clock, () => confirmedAt);
        clock.advance(1_000);
        clock.suspend(4_000);
        runner.schedule();
        await advanceTime(clock, 20);
        const before = { ...counts };
        confirmedAt = clock.monotonic();
        await advanceTime(clock, 50);
        runner.freeze();
        expect(before).toEqual({ turns: 0, cycles: 0 });
        expect(counts.turns > 0).toEqual(true);
    });
});
