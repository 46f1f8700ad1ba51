/** Visibility and cancellation of jobs across organisations. */
import { CellJobState, CellScheduler, type JobDefinition } from "@pebbledale/cell";
import { jobId, type Journal, ManualClock, organisationName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RequestHandler } from "../../src/owner/request-handler.js";
import { configuration, queue } from "../support/configuration.js";
import { makeStep } from "../support/steps.js";

const north = organisationName("north");
const south = organisationName("south");
const limit = { processorThousandths: 0, memoryMebibytes: 0, accelerators: 0 };
const organisations = [north, south].map(name => ({ name, keys: [], weight: 1, limit }));
const job = jobId("0123456789abcdef");
const definition: JobDefinition = { job, queue, organisation: north, payload: "", steps: [], timetable: undefined };

const setUp = (): { cell: CellScheduler; handler: RequestHandler; } => {
    const clock = new ManualClock();
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.configure({ ...configuration, organisations });
    const runTurn = (): Promise<boolean> => {
        cell.turnCommitted(cell.drain());
        return Promise.resolve(true);
    };
    const journal = { silentFor: () => 0, isOverdue: () => false } as unknown as Journal;
    const lost = new AbortController().signal;
    return { cell, handler: new RequestHandler({ cell, journal, clock, lost, runTurn, isConfirmed: () => true }) };
};

describe("a job of an organisation", () => {
    it("is visible to callers of the organisation only", async () => {
        const { handler } = setUp();
        expect(await handler.reply({ kind: "submit", definition })).toEqual({ kind: "accepted" });
        expect(await handler.reply({ kind: "state", job, organisation: north }))
            .toEqual({ kind: "state", state: CellJobState.Queued });
        expect(await handler.reply({ kind: "state", job, organisation: south })).toEqual({ kind: "unknown-job" });
        expect(await handler.reply({ kind: "state", job })).toEqual({ kind: "unknown-job" });
    });

    it("can be cancelled by callers of the organisation only", async () => {
        const { cell, handler } = setUp();
        await handler.reply({ kind: "submit", definition });
        expect(await handler.reply({ kind: "cancel", job, organisation: south })).toEqual({ kind: "unknown-job" });
        expect(cell.jobs.get(job)?.isOver).toEqual(false);
        expect(await handler.reply({ kind: "cancel", job, organisation: north })).toEqual({ kind: "cancelled" });
    });

    it("stays with it when another organisation submits a job with the same id", async () => {
        const { cell, handler } = setUp();
        await handler.reply({ kind: "submit", definition });
        expect(await handler.reply({ kind: "submit", definition: { ...definition, organisation: south } }))
            .toEqual({ kind: "id-taken" });
        expect(await handler.reply({ kind: "submit", definition })).toEqual({ kind: "accepted" });
        expect(cell.jobs.get(job)?.organisation).toEqual(north);
    });

    it("that is missing in the owner's configuration is to be submitted again later", async () => {
        const { handler } = setUp();
        const unknown = { ...definition, organisation: organisationName("east") };
        expect((await handler.reply({ kind: "submit", definition: unknown })).kind).toEqual("not-now");
    });

    it("that exceeds the organisation's limit is refused and not recorded", async () => {
        const { cell, handler } = setUp();
        const size = { processorThousandths: 1_000, memoryMebibytes: 0, accelerators: 0 };
        const limits = { processorThousandths: 3_000, memoryMebibytes: 0, accelerators: 0 };
        cell.configure({
            ...configuration,
            version: 2,
            organisations: [{ name: north, keys: [], weight: 1, limit: limits }],
        });
        const gang = (taskCount: number) => ({ ...definition, steps: [makeStep({ taskCount, size, isGang: true })] });
        const wide = { ...definition, steps: [makeStep({ taskCount: 40, size })] };
        expect(await handler.reply({ kind: "submit", definition: gang(4) })).toEqual({ kind: "beyond-limit" });
        expect(cell.jobs.size).toEqual(0);
        expect(await handler.reply({ kind: "submit", definition: wide })).toEqual({ kind: "accepted" });
        expect(await handler.reply({ kind: "submit", definition: { ...gang(3), job: jobId("0123456789abcdee") } }))
            .toEqual({ kind: "accepted" });
    });

    it("is visible to everyone if it was submitted without a key", async () => {
        const { handler } = setUp();
        const { organisation, ...open } = definition;
        expect(organisation).toEqual(north);
        await handler.reply({ kind: "submit", definition: open });
        expect((await handler.reply({ kind: "state", job, organisation: south })).kind).toEqual("state");
    });
});
