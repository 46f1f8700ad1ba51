import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { StartCommand } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker, running } from "../support/index.js";

const sizeOf = (processorThousandths: number) => ({ processorThousandths, memoryMebibytes: 1, accelerators: 0 });
/** A gang that needs all of a worker's eight cores. */
const wideGang = makeStep({ taskCount: 2, isGang: true, size: sizeOf(4_000) });

/** One worker with half of its room taken for a while longer. */
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

describe("room that a gang waits for", () => {
    it("is used meanwhile by what will have ended by then", () => {
        const { driver } = halfFull();
        driver.cell.submit(makeJob("short", [makeStep({ size: sizeOf(4_000), estimate: 1_000 })]));
        expect(startedJobs(driver)).toEqual(["short"]);
    });

    it("is not given to what would still run by then", () => {
        const { driver, holder } = halfFull();
        driver.cell.submit(makeJob("long", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual([]);
        driver.end(holder);
        expect(startedJobs(driver)).toEqual(["gang", "gang"]);
    });

    it("is worked out anew from how fast the runs there turn out to be", () => {
        const { driver, holder } = halfFull();
        // It takes ten times as long as its caller said: what is long has ended well before.
        [500, 1_500].forEach((at, index) => {
            driver.clock.advance(at - index * 500);
            driver.poll("w1", [running(holder, 2 + index * 10)], [], false);
        });
        driver.cell.submit(makeJob("long", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual(["long"]);
    });

    it("takes progress from before this owner for no sign of speed", () => {
        const { driver, holder } = halfFull(10_000);
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        driver.run();
        driver.poll("w1", [running(holder, 50)]);
        driver.run();
        driver.clock.advance(10);
        driver.poll("w1", [running(holder, 50)], [], false);
        // Half of its ten seconds are left: three seconds fit before the gang's turn.
        driver.cell.submit(makeJob("short", [makeStep({ size: sizeOf(4_000), estimate: 3_000 })]));
        expect(startedJobs(driver)).toEqual(["short"]);
    });
});

/** A worker of 8 cores with 8 accelerators. */
const acceleratedWorker = (id: string) =>
    makeWorker(id, { capacity: { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 8 } });
const acceleratedStep = (accelerators: number, estimate = 1_000) =>
    makeStep({ size: { processorThousandths: 100, memoryMebibytes: 1, accelerators }, estimate });

describe("a task that needs all accelerators of a worker", () => {
    it("gets its room kept, and small ones wait that would still hold some by then", () => {
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

    it("finds a worker that is free of small ones, as these share one", () => {
        const driver = new CellDriver();
        driver.addWorkers(acceleratedWorker("w1"), acceleratedWorker("w2"));
        const sizeWith = (processorThousandths: number, accelerators: number) =>
            makeStep({ size: { processorThousandths, memoryMebibytes: 1, accelerators }, estimate: 5_000 });
        driver.cell.submit(makeJob("one", [sizeWith(1_000, 4)]));
        const [first] = driver.run().starts;
        // Fits the other worker alone, and leaves it fewer processors than the first has.
        driver.cell.submit(makeJob("processors", [sizeWith(7_500, 0)]));
        driver.run();
        driver.cell.submit(makeJob("two", [sizeWith(100, 4)]));
        const [second] = driver.run().starts;
        expect(second.worker).toEqual(first.worker);
        driver.cell.submit(makeJob("wide", [acceleratedStep(8)]));
        expect(startedJobs(driver)).toEqual(["wide"]);
    });
});

/** Two workers that are full until two and sixty seconds from now, with two queues. */
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

/** A gang that needs both of these workers. */
const gangOfBoth = (estimate: number) => makeStep({ taskCount: 2, isGang: true, size: sizeOf(8_000), estimate });
const longPatient = () => makeJob("patient", [makeStep({ estimate: 100_000 })], { queue: queueName("patient") });

describe("room of several workers for gangs that can't all be on time", () => {
    it("is kept for one that can be, before one that is late already", () => {
        const { driver, holders } = unevenlyFull();
        driver.cell.submit(makeJob("late", [gangOfBoth(100)]));
        driver.run();
        driver.clock.advance(1_300);
        driver.run();
        driver.cell.submit(makeJob("timely", [gangOfBoth(80_000)]));
        driver.run();
        driver.end(holders[0]);
        driver.cell.submit(longPatient());
        expect(startedJobs(driver)).toEqual([]);
    });

    it("is not kept for one that would be late by then", () => {
        const { driver, holders } = unevenlyFull();
        driver.cell.submit(makeJob("hopeless", [gangOfBoth(100)]));
        driver.run();
        driver.end(holders[0]);
        driver.cell.submit(longPatient());
        expect(startedJobs(driver)).toEqual(["patient"]);
    });
});
