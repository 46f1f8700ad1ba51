import { queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { StartCommand } from "../../src/index.js";
import { CellDriver, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const sizeOf = (processorThousandths: number) => ({ processorThousandths, memoryMebibytes: 1, accelerators: 0 });
const patient = { queue: queueName("patient") };
/** A gang that needs six of eight cores at two workers at once. */
const gang = makeStep({ taskCount: 2, isGang: true, size: sizeOf(6_000), estimate: 30_000 });
const small = makeStep({ size: sizeOf(1_000), estimate: 2_000 });

const configuration = makeConfiguration(1, [
    makeQueue("work", { priority: 1 }),
    makeQueue("patient", { priority: 2, extension: 6 }),
]);

const makeDriver = (workers: number): CellDriver => {
    const driver = new CellDriver(undefined, configuration);
    driver.addWorkers(...Array.from({ length: workers }, (_, index) => makeWorker(`w${index}`)));
    return driver;
};

/** Workers with two of eight cores free each; a gang has waited for room for a while. */
const shortOfRoom = (waiting = gang): { driver: CellDriver; holders: readonly StartCommand[]; } => {
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

describe("patient work, while a gang of a more urgent queue is short of room", () => {
    it("leaves the room that there is, so that it adds up", () => {
        const { driver } = shortOfRoom();
        driver.cell.submit(makeJob("small", [small], patient));
        expect(startedJobs(driver)).toEqual([]);
        expect(driver.cell.summary().heldBack).toEqual(1);
    });

    it("starts once its job could no longer be on time otherwise", () => {
        const { driver } = shortOfRoom();
        driver.cell.submit(makeJob("small", [small], patient));
        driver.run();
        // Its objective is 13 s, its work 2 s, and 5 s are kept for a start that takes a while.
        driver.clock.advance(5_900);
        expect(startedJobs(driver)).toEqual([]);
        driver.clock.advance(200);
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts as before where the gang has waited for less than a question takes", () => {
        const driver = makeDriver(2);
        driver.cell.submit(makeJob("holder", [makeStep({ taskCount: 2, size: sizeOf(6_000), estimate: 60_000 })]));
        driver.confirm(...driver.run().starts);
        driver.cell.submit(makeJob("gang", [gang]));
        driver.cell.submit(makeJob("small", [small], patient));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts as before where the room is not what is short", () => {
        const driver = makeDriver(4);
        // No worker of the service holds a member: the gang waits, however much is free.
        driver.cell.submit(makeJob("gang", [{ ...gang, size: sizeOf(9_000) }]));
        driver.run();
        driver.clock.advance(1_600);
        driver.cell.submit(makeJob("small", [small], patient));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("starts as before where the gang would not fit the workers that may run it, were they empty", () => {
        const { driver } = shortOfRoom({ ...gang, taskCount: 3 });
        driver.cell.submit(makeJob("small", [small], patient));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    it("of a queue that is as urgent starts as before", () => {
        const { driver } = shortOfRoom();
        driver.cell.submit(makeJob("small", [small]));
        expect(startedJobs(driver)).toEqual(["small"]);
    });

    /** Accelerators of which half are taken, by tasks of so many thousandths of a processor; a gang that wants all has waited for a while. */
    const shortOfAccelerators = (processorThousandths: number): CellDriver => {
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

    it("leaves accelerators that are short, also with more processors free than a gang could want", () => {
        // Three of eight processors are free on each worker.
        const driver = shortOfAccelerators(5_000);
        driver.cell.submit(makeJob("small", [smallAccelerated], patient));
        expect(startedJobs(driver)).toEqual([]);
    });

    it("starts in a service most of which is free, however short accelerators are", () => {
        const driver = shortOfAccelerators(1_000);
        driver.cell.submit(makeJob("small", [smallAccelerated], patient));
        expect(startedJobs(driver)).toEqual(["small"]);
    });
});
