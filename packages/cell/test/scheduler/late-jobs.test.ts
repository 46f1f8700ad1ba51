import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { JobDefinition } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const queues = [
    makeQueue("urgent", { priority: 0, extension: 1, latencyTarget: 500 }),
    makeQueue("patient", { priority: 2, extension: 10 }),
];
/** A task that needs a whole worker. */
const whole = makeStep({
    size: { processorThousandths: 8_000, memoryMebibytes: 1, accelerators: 0 },
    estimate: 2_000,
});

const jobOf = (queue: string, id: string, step = whole): JobDefinition =>
    makeJob(id, [step], { queue: queueName(queue) });

/** The job that starts next when the only worker becomes free after an urgent and a deferrable job have waited for it. */
const nextAfter = (wait: number, deferrable = whole, urgent = whole): string => {
    const driver = new CellDriver(undefined, makeConfiguration(1, queues));
    driver.addWorkers(makeWorker("w1"));
    driver.cell.submit(jobOf("urgent", "holder"));
    const [holder] = driver.run().starts;
    driver.confirm(holder);
    driver.cell.submit(jobOf("patient", "patient", deferrable));
    driver.cell.submit(jobOf("urgent", "urgent", urgent));
    driver.run();
    driver.clock.advance(wait);
    driver.end(holder);
    return driver.run().starts[0].task.split("/")[0];
};

describe("a late job of the most urgent queue", () => {
    it("starts before deferrable work that can wait", () => {
        expect(nextAfter(1_000)).toEqual("urgent");
    });

    it("starts after deferrable work that would otherwise be late", () => {
        expect(nextAfter(1_000, { ...whole, estimate: 200 })).toEqual("patient");
    });

    it("starts after all work that is on time once it is too late to be of value", () => {
        expect(nextAfter(8_000)).toEqual("patient");
    });
});
