/*
 * A job was handed in at 74.477 s to an owner that had been suspended (4514 at 74.314 s) and waited for the store's word that it still owns the
 * cell. At 74.509 s its process was told to stop, and the cell was handed over (4506). The turn that was to record the job came to an end
 * without a record, as nothing is written any more by then, and the caller was told that its job is accepted. The next owners had never heard
 * of it (4803, 500 times).
 */
import type { AdviceDispatcher, CellRecord, JobDefinition } from "@pebbledale/cell";
import { CellScheduler } from "@pebbledale/cell";
import { type Journal, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type Assignments, TurnRunner } from "../../src/index.js";
import { RequestHandler } from "../../src/owner/request-desk.js";
import { configuration, queue } from "../support/configuration.js";
import { advanceTime } from "../support/index.js";

const job = {
    job: "0123456789abcdef",
    queue,
    payload: "",
    steps: [],
    timetable: undefined,
} as unknown as JobDefinition;

const begin = () => {
    const clock = new ManualClock();
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.configure(configuration);
    const records: CellRecord[] = [];
    const journal = {
        append: async (added: readonly CellRecord[]) => void records.push(...added),
        silentFor: () => 0,
    } as unknown as Journal;
    let confirmedAt = 0;
    const lost = new AbortController();
    const turns = new TurnRunner({
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
    const desk = new RequestHandler({
        cell,
        journal,
        clock,
        lost: lost.signal,
        runTurn: () => turns.run(),
        isConfirmed: () => true,
    });
    return { clock, desk, turns, records, confirm: () => confirmedAt = clock.monotonic() };
};

describe("a job that is handed in while the owner waits for the store's word and is then told to stop", () => {
    it("is not said to be accepted, as no record of it is written", async () => {
        const { clock, desk, turns, records, confirm } = begin();
        clock.advance(1_000);
        clock.suspend(4_000);
        const reply = desk.reply({ kind: "submit", definition: job });
        await advanceTime(clock, 20);
        turns.freeze();
        confirm();
        await advanceTime(clock, 50);
        expect(records).toEqual([]);
        expect((await reply).kind).toEqual("uncertain");
    });

    it("is said to be accepted once its record is kept", async () => {
        const { clock, desk, records, confirm } = begin();
        clock.advance(1_000);
        clock.suspend(4_000);
        const reply = desk.reply({ kind: "submit", definition: job });
        await advanceTime(clock, 20);
        confirm();
        await advanceTime(clock, 50);
        expect(records.map(({ kind }) => kind)).toEqual(["accepted"]);
        expect((await reply).kind).toEqual("accepted");
    });
});
