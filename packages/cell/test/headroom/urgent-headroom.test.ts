import { logEvents, queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { JobDefinition } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker, service } from "../support/index.js";

const queues = [makeQueue("urgent", { priority: 0 }), makeQueue("deferrable", { priority: 2, extension: 10 })];
const deferrableStep = makeStep({ taskCount: 20, estimate: 10_000 });

const jobOf = (queue: string, id: string, ...steps: JobDefinition["steps"]): JobDefinition =>
    makeJob(id, steps, { queue: queueName(queue) });

/** Two workers of eight cores each, on which `taskCount` urgent tasks of one core have just ended. */
const afterUrgentWork = (taskCount: number, changes = {}): CellDriver => {
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

const deferrableStarts = (driver: CellDriver): number =>
    driver.run().starts.filter(({ task }) => task.startsWith("deferrable")).length;

describe("deferrable work beside urgent narrow work", () => {
    it("leaves as much capacity free as urgent work used recently", () => {
        const driver = afterUrgentWork(2);
        driver.cell.submit(jobOf("deferrable", "deferrable", deferrableStep));
        expect(deferrableStarts(driver)).toEqual(14);
    });

    it("leaves at most a fifth of the capacity free", () => {
        const driver = afterUrgentWork(12);
        driver.cell.submit(jobOf("deferrable", "deferrable", deferrableStep));
        expect(deferrableStarts(driver)).toEqual(13);
    });

    it("shows the headroom in the summary, and logs considerable changes", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, queues));
        driver.addWorkers(...Array.from({ length: 8 }, (_, index) => makeWorker(`w${index}`)));
        driver.cell.submit(jobOf("urgent", "urgent", makeStep({ taskCount: 12, estimate: 300 })));
        const { starts } = driver.run();
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
        driver.cell.submit(jobOf("deferrable", "deferrable", { ...deferrableStep, taskCount: 80 }));
        driver.run();
        expect(driver.cell.summary().services.get(service)?.keptProcessor).toEqual(12_000);
        driver.clock.advance(1_000);
        driver.run();
        const lines = driver.logged.filter(({ event }) => event === logEvents.headroomChanged);
        expect(lines.map(({ fields }) => fields["keptTasks"])).toEqual([12]);
    });

    it("uses the headroom once no urgent work has arrived for a while", () => {
        const driver = afterUrgentWork(3);
        driver.cell.submit(jobOf("deferrable", "deferrable", deferrableStep));
        deferrableStarts(driver);
        driver.clock.advance(30_000);
        expect(deferrableStarts(driver)).toEqual(3);
    });

    it("uses the headroom where its job would be late otherwise", () => {
        const driver = afterUrgentWork(3);
        driver.cell.submit(jobOf("deferrable", "deferrable", { ...deferrableStep, estimate: 100 }));
        expect(deferrableStarts(driver)).toEqual(16);
    });

    it("uses the headroom where gangs share the service", () => {
        const driver = afterUrgentWork(3, { isGang: true });
        driver.cell.submit(jobOf("deferrable", "deferrable", deferrableStep));
        expect(deferrableStarts(driver)).toEqual(16);
    });

    it("leaves headroom again a minute after the last gang", () => {
        const driver = afterUrgentWork(3, { isGang: true });
        driver.clock.advance(61_000);
        driver.cell.submit(jobOf("urgent", "urgent-again", makeStep({ taskCount: 2, estimate: 300 })));
        const { starts } = driver.run();
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
        driver.run();
        driver.cell.submit(jobOf("deferrable", "deferrable", deferrableStep));
        expect(deferrableStarts(driver)).toEqual(14);
    });

    it("does not count free resources that fit no urgent task", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, queues));
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
        const twoCores = { processorThousandths: 2_000, memoryMebibytes: 1_024, accelerators: 0 };
        driver.cell.submit(jobOf("urgent", "urgent", makeStep({ estimate: 300, size: twoCores })));
        const [start] = driver.run().starts;
        driver.confirm(start);
        driver.end(start);
        // If one core stayed free on each worker, that would add up to an urgent task but fit none.
        driver.cell.submit(jobOf("deferrable", "deferrable", makeStep({ taskCount: 14, estimate: 10_000 })));
        const starts = driver.run().starts.filter(({ task }) => task.startsWith("deferrable"));
        expect(starts.length).toEqual(14);
        const counts = ["w1", "w2"].map(id => starts.filter(({ worker }) => worker === id).length);
        expect(counts.sort()).toEqual([6, 8]);
    });
});
