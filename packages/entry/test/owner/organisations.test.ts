/** Whose jobs an owner shows, cancels and takes over. */
import { CellJobState, CellScheduler, type JobDefinition } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock, organisationName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RequestHandler } from "../../src/owner/request-desk.js";
import { configuration, queue } from "../support/configuration.js";
import { makeStep } from "../support/steps.js";

const north = organisationName("north");
const south = organisationName("south");
const limit = { processorThousandths: 0, memoryMebibytes: 0, accelerators: 0 };
const organisations = [north, south].map(name => ({ name, keys: [], weight: 1, limit }));
const job = jobId("0123456789abcdef");
const definition: JobDefinition = { job, queue, organisation: north, payload: "", steps: [], timetable: undefined };

const begin = (): { cell: CellScheduler; desk: RequestHandler; } => {
    const clock = new ManualClock();
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.configure({ ...configuration, organisations });
    const turn = (): Promise<boolean> => {
        cell.turnCommitted(cell.drain());
        return Promise.resolve(true);
    };
    const journal = { silentFor: () => 0 } as unknown as Journal;
    const lost = new AbortController().signal;
    return { cell, desk: new RequestHandler({ cell, journal, clock, lost, runTurn: turn, isConfirmed: () => true }) };
};

describe("a job of an organisation", () => {
    it("is shown to its callers, whatever key they have, and is not there for others", async () => {
        const { desk } = begin();
        expect(await desk.reply({ kind: "submit", definition })).toEqual({ kind: "accepted" });
        expect(await desk.reply({ kind: "state", job, organisation: north }))
            .toEqual({ kind: "state", state: CellJobState.Queued });
        expect(await desk.reply({ kind: "state", job, organisation: south })).toEqual({ kind: "unknown-job" });
        expect(await desk.reply({ kind: "state", job })).toEqual({ kind: "unknown-job" });
    });

    it("is cancelled by its callers alone", async () => {
        const { cell, desk } = begin();
        await desk.reply({ kind: "submit", definition });
        expect(await desk.reply({ kind: "cancel", job, organisation: south })).toEqual({ kind: "unknown-job" });
        expect(cell.jobs.get(job)?.isOver).toEqual(false);
        expect(await desk.reply({ kind: "cancel", job, organisation: north })).toEqual({ kind: "cancelled" });
    });

    it("is not taken over by another organisation that hands in the same id, and stays the first one's", async () => {
        const { cell, desk } = begin();
        await desk.reply({ kind: "submit", definition });
        expect(await desk.reply({ kind: "submit", definition: { ...definition, organisation: south } }))
            .toEqual({ kind: "id-taken" });
        expect(await desk.reply({ kind: "submit", definition })).toEqual({ kind: "accepted" });
        expect(cell.jobs.get(job)?.organisation).toEqual(north);
    });

    it("that the owner's configuration does not name yet is not taken now", async () => {
        const { desk } = begin();
        const unknown = { ...definition, organisation: organisationName("east") };
        expect((await desk.reply({ kind: "submit", definition: unknown })).kind).toEqual("not-now");
    });

    it("that its limit can never hold is refused at once, and nothing of it is kept", async () => {
        const { cell, desk } = begin();
        const size = { processorThousandths: 1_000, memoryMebibytes: 0, accelerators: 0 };
        const limits = { processorThousandths: 3_000, memoryMebibytes: 0, accelerators: 0 };
        cell.configure({
            ...configuration,
            version: 2,
            organisations: [{ name: north, keys: [], weight: 1, limit: limits }],
        });
        const gang = (taskCount: number) => ({ ...definition, steps: [makeStep({ taskCount, size, isGang: true })] });
        const wide = { ...definition, steps: [makeStep({ taskCount: 40, size })] };
        expect(await desk.reply({ kind: "submit", definition: gang(4) })).toEqual({ kind: "beyond-limit" });
        expect(cell.jobs.size).toEqual(0);
        expect(await desk.reply({ kind: "submit", definition: wide })).toEqual({ kind: "accepted" });
        expect(await desk.reply({ kind: "submit", definition: { ...gang(3), job: jobId("0123456789abcdee") } }))
            .toEqual({ kind: "accepted" });
    });

    it("that came without a key is everyone's", async () => {
        const { desk } = begin();
        const { organisation, ...open } = definition;
        expect(organisation).toEqual(north);
        await desk.reply({ kind: "submit", definition: open });
        expect((await desk.reply({ kind: "state", job, organisation: south })).kind).toEqual("state");
    });
});
