import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { StartCommand } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const sizeOf = (processorThousandths: number) => ({ processorThousandths, memoryMebibytes: 1, accelerators: 0 });
const deferrable = { queue: queueName("deferrable") };
/** A gang that needs six of eight cores on two workers at once. */
const gang = makeStep({ taskCount: 2, isGang: true, size: sizeOf(6_000), estimate: 30_000 });
const small = makeStep({ size: sizeOf(1_000), estimate: 2_000 });

const configuration = makeConfiguration(1, [
    makeQueue("work", { priority: 1 }),
    makeQueue("deferrable", { priority: 2, extension: 6 }),
]);

const makeDriver = (workers: number): CellDriver => {
    const driver = new CellDriver(undefined, configuration);
    driver.addWorkers(...Array.from({ length: workers }, (_, index) => makeWorker(`w${index}`)));
    return driver;
};

/** Workers with two of eight cores free each, and a gang that has been blocked for a while. */
const withBlockedGang = (waiting = gang): { driver: CellDriver; holders: readonly StartCommand[]; } => {
    const driver = makeDriver(2);
    driver.cell.submit(makeJob("holder", [makeStep({ taskCount: 2, size: sizeOf(6_000), estimate: 60_000 })]));
    const holders = driver.run().starts;
    driver.confirm(...holders);
    driver.cell.submit(makeJob("gang", [waiting]));
    driver.run();
    driver.clock.advance(1_600);
    return { driver, holders };
};

const startedJobs = (driver: CellDriver): string[] => driver.run().starts.map(start => start.task.split("/")[0]);

describe("deferrable work while a gang of a more urgent queue is blocked", () => {
    it("leaves free resources unused, so that they accumulate", () => {
        const { driver } = withBlockedGang();
        driver.cell.submit(makeJob("small", [small], deferrable));
        expect(startedJobs(driver)).toEqual([]);
        expect(driver.cell.summary().heldBack).toEqual(1);
    });

    it("starts once its job would be late otherwise", () => {
        const { driver } = withBlockedGang();
        driver.cell.submit(makeJob("small", [small], deferrable));
        driver.run();
        // Its objective is 13 s, its work 2 s, and 5 s are the slack below which a step is not deferrable.
        driver.clock.advance(5_900);
        expect(startedJobs(driver)).toEqual([]);
        driver.clock.advance(200);
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts where the gang has only just become ready", () => {
        const driver = makeDriver(2);
        driver.cell.submit(makeJob("holder", [makeStep({ taskCount: 2, size: sizeOf(6_000), estimate: 60_000 })]));
        driver.confirm(...driver.run().starts);
        driver.cell.submit(makeJob("gang", [gang]));
        driver.cell.submit(makeJob("small", [small], deferrable));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts where capacity is not what blocks the gang", () => {
        const driver = makeDriver(4);
        // No worker of the service can hold a member, however much is free.
        driver.cell.submit(makeJob("gang", [{ ...gang, size: sizeOf(9_000) }]));
        driver.run();
        driver.clock.advance(1_600);
        driver.cell.submit(makeJob("small", [small], deferrable));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts where the gang would not even fit empty workers", () => {
        const { driver } = withBlockedGang({ ...gang, taskCount: 3 });
        driver.cell.submit(makeJob("small", [small], deferrable));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts where its queue is as urgent as the gang's", () => {
        const { driver } = withBlockedGang();
        driver.cell.submit(makeJob("small", [small]));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    /** Half of the accelerators are used by tasks of this size, and a gang that wants all has been blocked for a while. */
    const withScarceAccelerators = (processorThousandths: number): CellDriver => {
        const driver = new CellDriver(undefined, configuration);
        const capacity = { processorThousandths: 8_000, memoryMebibytes: 32_768, accelerators: 4 };
        driver.addWorkers(...["w1", "w2"].map(id => makeWorker(id, { capacity })));
        const size = { ...sizeOf(processorThousandths), accelerators: 2 };
        driver.cell.submit(
            makeJob("holder", [makeStep({ size, taskCount: 2, mostPerWorker: 1, estimate: 60_000 })]),
        );
        driver.confirm(...driver.run().starts);
        const wide = makeStep({
            size: { ...sizeOf(1_000), accelerators: 4 },
            taskCount: 2,
            isGang: true,
            estimate: 30_000,
        });
        driver.cell.submit(makeJob("gang", [wide]));
        driver.run();
        driver.clock.advance(1_600);
        return driver;
    };
    const smallAccelerated = makeStep({ size: { ...sizeOf(1_000), accelerators: 1 }, estimate: 2_000 });

    it("leaves scarce accelerators free, also with more processors free than the gang needs", () => {
        // Three of eight processors are free on each worker.
        const driver = withScarceAccelerators(5_000);
        driver.cell.submit(makeJob("small", [smallAccelerated], deferrable));
        expect(startedJobs(driver)).toEqual([]);
    });

    it("starts in a service with most processors free, however scarce accelerators are", () => {
        const driver = withScarceAccelerators(1_000);
        driver.cell.submit(makeJob("small", [smallAccelerated], deferrable));
        expect(startedJobs(driver)).toEqual(["small"]);
    });
});
