/*
 * Guards against a job being reported as accepted without a committed record, when a handover begins while the owner
 * waits for the store to confirm its ownership after a suspension.
 */
import type { AdviceDispatcher, CellRecord, JobDefinition } from "@pebbledale/cell";
import { CellScheduler } from "@pebbledale/cell";
import { type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Assignments, TurnRunner } from "../../src/index.js";
import { RequestHandler } from "../../src/owner/request-handler.js";
import { configuration, queue } from "../support/configuration.js";
import { advanceTime } from "../support/index.js";

const job = {
    job: "0123456789abcdef",
    queue,
    payload: "",
    steps: [],
    timetable: undefined,
} as unknown as JobDefinition;

const setUp = () => {
    const clock = new ManualClock();
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.configure(configuration);
    const records: CellRecord[] = [];
    const journal = {
        append: async (added: readonly CellRecord[]) => void records.push(...added),
        silentFor: () => 0,
        isOverdue: () => false,
    } as unknown as Journal;
    let confirmedAt = 0;
    const lost = new AbortController();
    const turnRunner = new TurnRunner({
        cell,
        journal,
        clock,
        confirmedAt: () => confirmedAt,
        confirm: () => undefined,
        advice: { ask: () => undefined } as unknown as AdviceDispatcher,
        assignments: { vmOf: () => undefined } as unknown as Assignments,
        lost,
        onNewWorkers: () => undefined,
    });
    const handler = new RequestHandler({
        cell,
        journal,
        clock,
        lost: lost.signal,
        runTurn: () => turnRunner.run(),
        isConfirmed: () => true,
    });
    return { clock, handler, turnRunner, records, confirm: () => confirmedAt = clock.monotonic() };
};

describe("a job submitted while the owner, about to stop, waits for the store to confirm its ownership", () => {
    it("is answered as uncertain, as its record is not written", async () => {
        const { clock, handler, turnRunner, records, confirm } = setUp();
        clock.advance(1_000);
        clock.suspend(4_000);
        const reply = handler.reply({ kind: "submit", definition: job });
        await advanceTime(clock, 20);
        turnRunner.freeze();
        confirm();
        await advanceTime(clock, 50);
        expect(records).toEqual([]);
        expect((await reply).kind).toEqual("uncertain");
    });

    it("is accepted once its record is committed", async () => {
        const { clock, handler, records, confirm } = setUp();
        clock.advance(1_000);
        clock.suspend(4_000);
        const reply = handler.reply({ kind: "submit", definition: job });
        await advanceTime(clock, 20);
        confirm();
        await advanceTime(clock, 50);
        expect(records.map(({ kind }) => kind)).toEqual(["accepted"]);
        expect((await reply).kind).toEqual("accepted");
    });
});
