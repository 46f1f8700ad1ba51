import type { AdviceDispatcher, CellScheduler, Turn } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Assignments, TurnRunner } from "../../src/index.js";
import { settle } from "../support/index.js";

const emptyTurn: Turn = {
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

const makeRunner = (cell: CellScheduler): TurnRunner =>
    new TurnRunner({
        cell,
        journal: {
            append: async (records: readonly unknown[]) => void appended.push(...records),
        } as unknown as Journal,
        clock: new ManualClock(),
        advice: {} as AdviceDispatcher,
        assignments: {} as Assignments,
        lost: new AbortController(),
        onNewWorkers: () => undefined,
    });

describe("turns of an owner that hands the cell over", () => {
    it("make no passes, and do not follow each other without pause while work waits", async () => {
        const { counts, cell } = waitingCell();
        const runner = makeRunner(cell);
        runner.freeze();
        runner.request();
        await settle();
        expect(counts).toEqual({ turns: 1, passes: 0 });
    });

    it("write nothing more, so that the next owner finds the journal as it read it", async () => {
        const { cell } = waitingCell();
        const turn: Turn = { ...emptyTurn, records: [{ kind: "forgotten", job: jobId("late") }] };
        const runner = makeRunner({ ...cell, drain: () => turn } as unknown as CellScheduler);
        runner.freeze();
        await runner.run();
        expect(appended).toEqual([]);
    });
});
