/* Guards against jobs waiting until their callers give up while no worker may start them. */
import { CellScheduler, type JobDefinition, vmId } from "@pebbledale/cell";
import { dataHallName, type Journal, ManualClock, workerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RetryLaterReason } from "../../src/index.js";
import { RequestHandler } from "../../src/owner/request-handler.js";
import { configuration, queue } from "../support/configuration.js";

const halls = ["hall-a", "hall-b"].map(dataHallName);
const jobOf = (job: string, timetable?: unknown) =>
    ({ job, queue, payload: "", steps: [], timetable }) as unknown as JobDefinition;

const setUp = () => {
    const clock = new ManualClock();
    const cell = new CellScheduler({ clock, log: { log: () => undefined } });
    cell.configure(configuration);
    cell.replaceWorkerEntries(halls.map(dataHall => ({
        worker: workerId(`worker-of-${dataHall}`),
        address: "127.0.0.1:1",
        service: configuration.queues[0].service,
        dataHall,
        vm: vmId("vm"),
        capacity: { processorThousandths: 1_000, memoryMebibytes: 1, accelerators: 0 },
        labels: [],
        rack: undefined,
        isDraining: false,
        leavesIn: undefined,
    })));
    const handler = new RequestHandler({
        cell,
        journal: { silentFor: () => 0, isOverdue: () => false } as unknown as Journal,
        clock,
        lost: new AbortController().signal,
        runTurn: () => Promise.resolve(true),
        isConfirmed: () => true,
    });
    const submit = async (definition: JobDefinition) => await handler.reply({ kind: "submit", definition });
    return { cell, submit };
};

describe("an owner whose workers are all in closed data halls", () => {
    it("refuses new jobs with a time to return, confirms known ones, and accepts again after a reopening", async () => {
        const { cell, submit } = setUp();
        expect((await submit(jobOf("0000000000000001"))).kind).toEqual("accepted");
        cell.setClosedHalls({ halls, revision: 1 });
        const refused = { kind: "not-now", retryAfter: 1_000, reason: RetryLaterReason.DataHallsClosed } as const;
        expect(await submit(jobOf("0000000000000002"))).toEqual(refused);
        expect((await submit(jobOf("0000000000000001"))).kind).toEqual("accepted");
        expect((await submit(jobOf("0000000000000003", { at: 1 }))).kind).toEqual("accepted");
        cell.setClosedHalls({ halls: [halls[0]], revision: 2 });
        expect((await submit(jobOf("0000000000000002"))).kind).toEqual("accepted");
    });

    it("accepts jobs of a service whose workers are not known yet", async () => {
        const { cell, submit } = setUp();
        cell.setClosedHalls({ halls, revision: 1 });
        cell.updateWorkerEntries([], halls.map(hall => workerId(`worker-of-${hall}`)));
        expect((await submit(jobOf("0000000000000004"))).kind).toEqual("accepted");
    });
});
