import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type JobDefinition, RunEnd, type StartCommand } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker, running } from "../support/index.js";

const urgent = makeQueue("urgent", { priority: 0 });
const patient = makeQueue("patient", { priority: 2, extension: 10 });

/** A task that takes nearly all of a worker. */
const wideStep = makeStep({ size: { processorThousandths: 7_500, memoryMebibytes: 1, accelerators: 0 } });
const smallStep = makeStep({
    size: { processorThousandths: 1_000, memoryMebibytes: 1, accelerators: 0 },
    estimate: 10_000,
    savesProgress: true,
});

const jobOf = (queue: string, id: string, step = smallStep): JobDefinition =>
    makeJob(id, [step], { queue: queueName(queue) });

/** One worker on which a small task is at work, and a wide one that waits for long enough. */
const withWaiting = (holder: JobDefinition): { driver: CellDriver; held: StartCommand; } => {
    const driver = new CellDriver(undefined, makeConfiguration(1, [urgent, patient]));
    driver.addWorkers(makeWorker("w1"));
    driver.cell.submit(holder);
    const [held] = driver.run().starts;
    driver.confirm(held);
    driver.cell.submit(jobOf("urgent", "wide", wideStep));
    driver.run();
    driver.clock.advance(200);
    driver.poll("w1", [running(held, 10)], [], false);
    return { driver, held };
};

describe("work that finds no room", () => {
    it("gets that of a less urgent run whose progress is saved, which goes on later", () => {
        const { driver, held } = withWaiting(jobOf("patient", "small"));
        expect(driver.run().stops.map(stop => stop.task)).toEqual([held.task]);
        driver.end(held, RunEnd.Stopped, "saved");
        const [wide] = driver.run().starts;
        expect(wide.task.startsWith("wide")).toEqual(true);
        driver.confirm(wide);
        driver.end(wide);
        const [again] = driver.run().starts;
        expect([again.task, again.checkpoint]).toEqual([held.task, "saved"]);
    });

    it("stops nothing whose progress would be lost", () => {
        const { driver } = withWaiting(jobOf("patient", "small", { ...smallStep, savesProgress: false }));
        expect(driver.run().stops).toEqual([]);
    });

    it("stops nothing that is as urgent", () => {
        const { driver } = withWaiting(jobOf("urgent", "small"));
        expect(driver.run().stops).toEqual([]);
    });

    it("stops nothing whose job would be late by it", () => {
        const { driver } = withWaiting(jobOf("patient", "small", { ...smallStep, estimate: 100 }));
        expect(driver.run().stops).toEqual([]);
    });

    it("stops nothing where stops would not make the room", () => {
        const driver = new CellDriver(undefined, makeConfiguration(1, [urgent, patient]));
        driver.addWorkers(makeWorker("w1"));
        driver.cell.submit(jobOf("patient", "small"));
        driver.cell.submit(jobOf("urgent", "other", { ...smallStep, savesProgress: false }));
        driver.confirm(...driver.run().starts);
        driver.cell.submit(jobOf("urgent", "wide", wideStep));
        driver.run();
        driver.clock.advance(200);
        expect(driver.run().stops).toEqual([]);
    });
});
