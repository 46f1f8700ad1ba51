import { logEvents, queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { JobDefinition } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker, service } from "../support/index.js";

const queues = [makeQueue("urgent", { priority: 0 }), makeQueue("patient", { priority: 2, extension: 10 })];
const patientStep = makeStep({ taskCount: 20, estimate: 10_000 });

const jobOf = (queue: string, id: string, ...steps: JobDefinition["steps"]): JobDefinition =>
    makeJob(id, steps, { queue: queueName(queue) });

/** Two workers of eight cores each, on which urgent tasks of so many cores in all have just ended. */
const afterUrgent = (taskCount: number, changes = {}): CellDriver => {
    const driver = new CellDriver(undefined, makeConfiguration(1, queues));
    driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
    driver.cell.submit(jobOf("urgent", "urgent", makeStep({ taskCount, estimate: 300, ...changes })));
    const { starts } = driver.run();
    driver.confirm(...starts);
    driver.clock.advance(300);
    starts.forEach(start => driver.end(start));
    driver.run();
    return driver;
};

const patientStarts = (driver: CellDriver): number =>
    driver.run().starts.filter(({ task }) => task.startsWith("patient")).length;

describe("patient work that can wait, beside urgent work of few cores", () => {
    it("leaves as much room as urgent work had lately", () => {
        const driver = afterUrgent(2);
        driver.cell.submit(jobOf("patient", "patient", patientStep));
        expect(patientStarts(driver)).toEqual(14);
    });

    it("leaves a fifth of the room at most", () => {
        const driver = afterUrgent(12);
        driver.cell.submit(jobOf("patient", "patient", patientStep));
        expect(patientStarts(driver)).toEqual(13);
    });

    it("is told of in the summary, and in the log once it is a change", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, queues));
        driver.addWorkers(...Array.from({ length: 8 }, (_, index) => makeWorker(`w${index}`)));
        driver.cell.submit(jobOf("urgent", "urgent", makeStep({ taskCount: 12, estimate: 300 })));
        const { starts } = driver.run();
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
        driver.cell.submit(jobOf("patient", "patient", { ...patientStep, taskCount: 80 }));
        driver.run();
        expect(driver.cell.summary().services[service].keptProcessor).toEqual(12_000);
        driver.clock.advance(1_000);
        driver.run();
        const lines = driver.logged.filter(({ event }) => event === logEvents.roomKept);
        expect(lines.map(({ fields }) => fields["keptTasks"])).toEqual([12]);
    });

    it("takes the room once no urgent work has come for a while", () => {
        const driver = afterUrgent(3);
        driver.cell.submit(jobOf("patient", "patient", patientStep));
        patientStarts(driver);
        driver.clock.advance(30_000);
        expect(patientStarts(driver)).toEqual(3);
    });

    it("takes the room where its job would be late otherwise", () => {
        const driver = afterUrgent(3);
        driver.cell.submit(jobOf("patient", "patient", { ...patientStep, estimate: 100 }));
        expect(patientStarts(driver)).toEqual(16);
    });

    it("takes the room where gangs share the service: room adds up for these otherwise", () => {
        const driver = afterUrgent(3, { isGang: true });
        driver.cell.submit(jobOf("patient", "patient", patientStep));
        expect(patientStarts(driver)).toEqual(16);
    });

    it("does not count room that holds no urgent task", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, queues));
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
        const twoCores = { processorThousandths: 2_000, memoryMebibytes: 1_024, accelerators: 0 };
        driver.cell.submit(jobOf("urgent", "urgent", makeStep({ estimate: 300, size: twoCores })));
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.end(start);
        // One core is left on each worker, which is as much as an urgent task wants but no place for one.
        driver.cell.submit(jobOf("patient", "patient", makeStep({ taskCount: 14, estimate: 10_000 })));
        const starts = driver.run().starts.filter(({ task }) => task.startsWith("patient"));
        expect(starts.length).toEqual(14);
        const counts = ["w1", "w2"].map(id => starts.filter(({ worker }) => worker === id).length);
        expect(counts.sort()).toEqual([6, 8]);
    });
});
