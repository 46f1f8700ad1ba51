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
    jobStates: new Map(),
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
    append = async (records: readonly unknown[]): Promise<void> => void appended.push(...records),
    lost = new AbortController(),
): TurnRunner =>
    new TurnRunner({
        cell,
        journal: { append } as unknown as Journal,
        clock,
        confirmedAt,
        confirm: () => undefined,
        advice: { ask: () => undefined } as unknown as AdviceDispatcher,
        assignments: {} as Assignments,
        lost,
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

/*
 * Guards against a task running twice: an owner that was stopped while it waited for the journal sent the starts of that time to the VMs that
 * its successor did not reach.
 */
describe("an owner that was stopped while its records were written", () => {
    const runStoppedTurn = async () => {
        const clock = new ManualClock();
        const released: number[] = [];
        const cell = {
            needsCycle: false,
            drain: (): TurnOutput => ({ ...emptyTurn, records: [{ kind: "forgotten", job: jobId("job") }] }),
            turnCommitted: () => void released.push(clock.monotonic()),
        } as unknown as CellScheduler;
        let commit = (): void => undefined;
        const store = { confirmedAt: 0 };
        const lost = new AbortController();
        const append = () => new Promise<void>(resolve => commit = resolve);
        const turn = makeRunner(cell, clock, () => store.confirmedAt, append, lost).run();
        await settle();
        clock.advance(8_000);
        commit();
        await advanceTime(clock, 100);
        return { clock, turn, released, store, lost };
    };

    it("sends their starts only once the store has confirmed that it still owns the cell", async () => {
        const { clock, turn, released, store } = await runStoppedTurn();
        expect(released).toEqual([]);
        store.confirmedAt = clock.monotonic();
        await advanceTime(clock, 100);
        expect([await turn, released.length]).toEqual([true, 1]);
    });

    it("sends nothing once it has found that another owner has the cell", async () => {
        const { turn, released, lost } = await runStoppedTurn();
        lost.abort();
        expect([await turn, released]).toEqual([false, []]);
    });
});
