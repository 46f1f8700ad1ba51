import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { StartCommand } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker, running } from "../support/index.js";

const sizeOf = (processorThousandths: number) => ({ processorThousandths, memoryMebibytes: 1, accelerators: 0 });
/** A gang that needs a whole worker. */
const wideGang = makeStep({ taskCount: 2, isGang: true, size: sizeOf(4_000) });

/** One worker that is half full, with a gang waiting for the other half. */
const halfFull = (estimate = 2_000): { driver: CellDriver; holder: StartCommand; } => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"));
    driver.cell.submit(makeJob("holder", [makeStep({ size: sizeOf(4_000), estimate })]));
    const [holder] = driver.run().starts;
    driver.confirm(holder);
    driver.cell.submit(makeJob("gang", [wideGang]));
    driver.run();
    return { driver, holder };
};

const startedJobs = (driver: CellDriver): string[] => driver.run().starts.map(start => start.task.split("/")[0]);

describe("capacity that is reserved for a gang", () => {
    it("is used meanwhile by tasks that end in time", () => {
        const { driver } = halfFull();
        driver.cell.submit(makeJob("short", [makeStep({ size: sizeOf(4_000), estimate: 1_000 })]));
        expect(startedJobs(driver)).toEqual(["short"]);
    });

    it("is not used by tasks that would still run at that time", () => {
        const { driver, holder } = halfFull();
        driver.cell.submit(makeJob("long", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual([]);
        driver.end(holder);
        expect(startedJobs(driver)).toEqual(["gang", "gang"]);
    });

    it("is forecast again from the measured speed of the runs there", () => {
        const { driver, holder } = halfFull();
        // The holder takes ten times its estimate, so that even the long task ends well before it.
        [500, 1_500].forEach((at, index) => {
            driver.clock.advance(at - index * 500);
            driver.poll("w1", [running(holder, 2 + index * 10)], [], false);
        });
        driver.cell.submit(makeJob("long", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual(["long"]);
    });

    it("is not forecast from progress made under an earlier owner", () => {
        const { driver, holder } = halfFull(10_000);
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        driver.run();
        driver.poll("w1", [running(holder, 50)]);
        driver.run();
        driver.clock.advance(10);
        driver.poll("w1", [running(holder, 50)], [], false);
        // Half of the holder's ten seconds are left, so that three seconds fit before the gang starts.
        driver.cell.submit(makeJob("short", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual(["short"]);
    });
});

/** A worker with 8 cores and 8 accelerators. */
const acceleratedWorker = (id: string) =>
    makeWorker(id, { capacity: { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 8 } });
const acceleratedStep = (accelerators: number, estimate = 1_000) =>
    makeStep({ size: { processorThousandths: 100, memoryMebibytes: 1, accelerators }, estimate });

describe("a task that needs all accelerators of a worker", () => {
    it("gets a reservation, and small tasks that would still hold some of them have to wait", () => {
        const driver = new CellDriver();
        driver.addWorkers(acceleratedWorker("w1"));
        driver.cell.submit(makeJob("holder", [acceleratedStep(4, 2_000)]));
        const [holder] = driver.run().starts;
        driver.confirm(holder);
        driver.cell.submit(makeJob("wide", [acceleratedStep(8)]));
        driver.run();
        driver.clock.advance(200);
        driver.run();
        driver.cell.submit(makeJob("small", [acceleratedStep(4, 5_000)]));
        expect(startedJobs(driver)).toEqual([]);
        driver.end(holder);
        expect(startedJobs(driver)).toEqual(["wide"]);
    });

    it("finds a worker without small tasks, because these are packed on one worker", () => {
        const driver = new CellDriver();
        driver.addWorkers(acceleratedWorker("w1"), acceleratedWorker("w2"));
        const sizeWith = (processorThousandths: number, accelerators: number) =>
            makeStep({ size: { processorThousandths, memoryMebibytes: 1, accelerators }, estimate: 5_000 });
        driver.cell.submit(makeJob("one", [sizeWith(1_000, 4)]));
        const [first] = driver.run().starts;
        // Fits only the other worker and leaves it fewer processors than the first one has.
        driver.cell.submit(makeJob("processors", [sizeWith(7_500, 0)]));
        driver.run();
        driver.cell.submit(makeJob("two", [sizeWith(100, 4)]));
        const [second] = driver.run().starts;
        expect(second.worker).toEqual(first.worker);
        driver.cell.submit(makeJob("wide", [acceleratedStep(8)]));
        expect(startedJobs(driver)).toEqual(["wide"]);
    });
});

/** Two workers that are full for another two and sixty seconds. */
const unevenlyFull = (): { driver: CellDriver; holders: readonly StartCommand[]; } => {
    const queues = [makeQueue("work", { priority: 1 }), makeQueue("patient", { priority: 2, extension: 6 })];
    const driver = new CellDriver(undefined, makeConfiguration(1, queues));
    driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
    for (const [id, estimate] of [["first", 2_000], ["second", 60_000]] as const) {
        driver.cell.submit(makeJob(id, [makeStep({ size: sizeOf(8_000), estimate })]));
    }
    const holders = driver.run().starts;
    driver.confirm(...holders);
    return { driver, holders };
};

/** A gang that needs both workers. */
const gangOfBoth = (estimate: number) => makeStep({ taskCount: 2, isGang: true, size: sizeOf(8_000), estimate });
const longDeferrable = () => makeJob("patient", [makeStep({ estimate: 100_000 })], { queue: queueName("patient") });

describe("capacity of several workers for gangs that cannot all be on time", () => {
    it("is reserved for a gang that can be on time rather than one that is late already", () => {
        const { driver, holders } = unevenlyFull();
        driver.cell.submit(makeJob("late", [gangOfBoth(100)]));
        driver.run();
        driver.clock.advance(1_300);
        driver.run();
        driver.cell.submit(makeJob("timely", [gangOfBoth(80_000)]));
        driver.run();
        driver.end(holders[0]);
        driver.cell.submit(longDeferrable());
        expect(startedJobs(driver)).toEqual([]);
    });

    it("is not reserved for a gang that would be late", () => {
        const { driver, holders } = unevenlyFull();
        driver.cell.submit(makeJob("infeasible", [gangOfBoth(100)]));
        driver.run();
        driver.end(holders[0]);
        driver.cell.submit(longDeferrable());
        expect(startedJobs(driver)).toEqual(["patient"]);
    });
});
