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

/** A cell with work that waits whatever is done. */
const waitingCell = () => {
    const counts = { turns: 0, passes: 0 };
    const cell = {
        wantsPass: true,
        drain: () => {
            counts.turns++;
            return emptyTurn;
        },
        kept: () => undefined,
        place: () => void counts.passes++,
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

describe("turns of an owner that hands the cell over", () => {
    it("make no passes, and do not follow each other without pause while work waits", async () => {
        const { counts, cell } = waitingCell();
        const runner = makeRunner(cell);
        runner.freeze();
        runner.schedule();
        await settle();
        expect(counts).toEqual({ turns: 1, passes: 0 });
    });

    it("write nothing more, so that the next owner finds the journal as it read it", async () => {
        const { cell } = waitingCell();
        const turn: TurnOutput = { ...emptyTurn, records: [{ kind: "forgotten", job: jobId("late") }] };
        const runner = makeRunner({ ...cell, drain: () => turn } as unknown as CellScheduler);
        runner.freeze();
        await runner.run();
        expect(appended).toEqual([]);
    });
});

describe("turns of an owner that may have been suspended", () => {
    it("decide and send nothing before the store has confirmed that it owns the cell", async () => {
        const { counts, cell } = waitingCell();
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
        expect(before).toEqual({ turns: 0, passes: 0 });
        expect(counts.turns > 0).toEqual(true);
    });
});
