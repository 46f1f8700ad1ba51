import { queueName, SeededRandom, workerId, workerIncarnation } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RunEnd, type StartCommand } from "../../src/index.js";
import { CellDriver, idOf, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

/** Tolerance for changes of an estimate that are due to the estimates of other workers. */
const tolerance = 0.01;
const ids = ["w1", "w2", "w3", "w4"];
/** The size of a whole worker, so that each worker gets one task of a job. */
const whole = { processorThousandths: 8_000, memoryMebibytes: 1_024, accelerators: 0 };

const makeDriver = (): CellDriver => {
    const queues = [makeQueue("work", { priority: 0 }), makeQueue("deferrable", { priority: 2, extension: 6 })];
    const driver = new CellDriver(undefined, makeConfiguration(1, queues));
    driver.addWorkers(...ids.map(id => makeWorker(id)));
    return driver;
};

/** Runs jobs with one task on each worker, which takes `timeOf` the worker. Estimates are off by a factor of up to e squared. */
const runJobs = (driver: CellDriver, count: number, timeOf: (worker: string) => number, seed = 1): void => {
    const random = new SeededRandom(seed);
    for (let index = 0; index < count; index++) {
        const estimate = Math.round(1_000 * Math.exp(random.next() * 4 - 2));
        const id = `j${driver.clock.monotonic()}-${index}`;
        driver.cell.submit(makeJob(id, [makeStep({ taskCount: ids.length, size: whole, estimate })]));
        const { starts } = driver.run();
        driver.confirm(...starts);
        endInTurn(driver, starts, timeOf);
    }
};

const endInTurn = (driver: CellDriver, starts: readonly StartCommand[], timeOf: (worker: string) => number): void => {
    const begunAt = driver.clock.monotonic();
    const inTurn = [...starts].sort((left, right) => timeOf(left.worker) - timeOf(right.worker));
    for (const start of inTurn) {
        driver.clock.advance(begunAt + timeOf(start.worker) - driver.clock.monotonic());
        driver.end(start, RunEnd.Done);
    }
};

const slownessOf = (driver: CellDriver, id: string): number => driver.cell.workers.get(idOf(id))!.slowness;
const firstIsFast = (id: string): number => id === "w1" ? 500 : 1_000;

describe("the estimate of workers' speeds", () => {
    it("stays neutral where workers are alike, however much estimates are off and tasks of a step differ", () => {
        const driver = makeDriver();
        const random = new SeededRandom(7);
        const times = new Map<string, number>();
        for (let jobs = 0; jobs < 30; jobs++) {
            ids.forEach(id => times.set(id, 700 + Math.round(random.next() * 600)));
            runJobs(driver, 1, id => times.get(id)!, jobs);
        }
        expect(ids.map(id => slownessOf(driver, id))).toEqual([1, 1, 1, 1]);
    });

    it("never exceeds the real difference, and approaches it with more samples", () => {
        for (const seed of [1, 2, 3, 4, 5, 6]) {
            const driver = makeDriver();
            let previous = 1;
            for (let jobs = 0; jobs < 30; jobs++) {
                runJobs(driver, 1, firstIsFast, seed + jobs);
                const slowness = slownessOf(driver, "w1");
                expect(slowness <= previous + tolerance && slowness >= 0.5).toEqual(true);
                previous = slowness;
            }
            // At least half of the difference, on a logarithmic scale, is learned by then.
            expect(previous).toBeLessThan(Math.SQRT1_2);
            expect(ids.slice(1).map(id => slownessOf(driver, id))).toEqual([1, 1, 1]);
        }
    });

    it("is bounded, however long a task takes", () => {
        const driver = makeDriver();
        runJobs(driver, 40, id => id === "w1" ? 100_000 : 1_000);
        expect(slownessOf(driver, "w1")).toBeLessThan(4.01);
    });

    it("returns to neutral once the worker's tasks take as long as others'", () => {
        const driver = makeDriver();
        runJobs(driver, 20, firstIsFast);
        expect(slownessOf(driver, "w1")).toBeLessThan(0.7);
        runJobs(driver, 60, () => 1_000);
        expect(slownessOf(driver, "w1")).toEqual(1);
    });

    it("starts neutral for a restarted worker and for a new owner", () => {
        const driver = makeDriver();
        runJobs(driver, 20, firstIsFast);
        driver.cell.applyRestart(workerId("w1"), workerIncarnation(2));
        expect(slownessOf(driver, "w1")).toEqual(1);
        driver.takeOver();
        driver.cell.replaceWorkerEntries(ids.map(id => makeWorker(id)));
        expect(ids.map(id => slownessOf(driver, id))).toEqual([1, 1, 1, 1]);
    });
});

describe("tasks on workers of uneven speed", () => {
    it("go to fast workers if they are urgent, and leave these to others if they are deferrable", () => {
        const driver = makeDriver();
        runJobs(driver, 20, firstIsFast);
        driver.cell.submit(makeJob("deferrable", [makeStep()], { queue: queueName("deferrable") }));
        expect(driver.run().starts.map(({ worker }) => worker === idOf("w1"))).toEqual([false]);
        driver.cell.submit(makeJob("urgent", [makeStep()]));
        expect(driver.run().starts.map(({ worker }) => worker === idOf("w1"))).toEqual([true]);
    });
});
