/** Organisations at their limits: which of their work starts, which waits, and that others are not affected. */
import { organisationName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Organisation, StartCommand, WorkerEntry } from "../../src/index.js";
import {
    CellDriver,
    fakePolicy,
    makeConfiguration,
    makeJob,
    makeOrganisation,
    makeQueue,
    makeStep,
    makeWorker,
    running,
} from "../support/index.js";

const north = organisationName("north");
const south = organisationName("south");
const queues = [
    makeQueue("work", { needsKey: true }),
    makeQueue("advised", { needsKey: true, advice: fakePolicy }),
];
const configurationOf = (version: number, ...organisations: Organisation[]) =>
    makeConfiguration(version, queues, organisations);
const makeDriver = (...organisations: Organisation[]): CellDriver => {
    const driver = new CellDriver(undefined, configurationOf(1, ...organisations));
    driver.addWorkers(makeWorker("w1"), makeWorker("w2"), makeWorker("w3"));
    return driver;
};
const jobsOf = (starts: readonly StartCommand[]): string[] => starts.map(({ task }) => task.split("/")[0]);

describe("an organisation at its limit", () => {
    it("starts as many tasks as its limit allows, and more as they end", () => {
        const driver = makeDriver(makeOrganisation("north", 5));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 9 })], { organisation: north }));
        const { starts } = driver.run();
        expect(starts.length).toEqual(5);
        driver.confirm(...starts);
        driver.end(starts[0]);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("is listed in the summary with its usage, its limit and its waiting tasks", () => {
        const driver = makeDriver(makeOrganisation("north", 2), makeOrganisation("south", 24));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        driver.run();
        const figures = { processor: 2_000, mostProcessor: 2_000, memory: 2_048, mostMemory: 0 };
        expect(driver.cell.summary().atLimit).toEqual([{ organisation: north, tasks: 18, ...figures }]);
    });

    it("does not affect others", () => {
        const driver = makeDriver(makeOrganisation("north", 2), makeOrganisation("south", 24));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        driver.cell.submit(makeJob("s", [makeStep({ taskCount: 20 })], { organisation: south }));
        const jobs = jobsOf(driver.run().starts);
        expect([jobs.filter(job => job === "n").length, jobs.filter(job => job === "s").length]).toEqual([2, 20]);
    });

    it("asks no advice for tasks that can't start", () => {
        const driver = makeDriver(makeOrganisation("north", 1));
        const job = makeJob("n", [makeStep({ taskCount: 3, isGang: true })], { organisation: north });
        driver.cell.submit({ ...job, queue: queues[1].name });
        expect(driver.run().questions).toEqual([]);
    });

    it("counts runs that are being stopped until their end is reported", () => {
        const driver = makeDriver(makeOrganisation("north", 2));
        const first = makeJob("first", [makeStep({ taskCount: 2 })], { organisation: north });
        driver.cell.submit(first);
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.cell.submit(makeJob("second", [makeStep({ taskCount: 2 })], { organisation: north }));
        driver.cell.cancel(first.job);
        expect(driver.run().starts).toEqual([]);
        driver.end(starts[0]);
        expect(jobsOf(driver.run().starts)).toEqual(["second"]);
    });

    it("counts runs on a worker that does not answer until its leases have expired", () => {
        const driver = makeDriver(makeOrganisation("north", 2));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 4 })], { organisation: north }));
        const { starts } = driver.run();
        driver.confirm(...starts);
        const lapsesAt = driver.clock.monotonic() + 3_000;
        new Set(starts.map(({ worker }) => worker)).forEach(worker => driver.cell.applySilence(worker, lapsesAt));
        driver.clock.advance(2_000);
        driver.cell.tick();
        expect(driver.run().starts).toEqual([]);
        driver.clock.advance(2_000);
        driver.cell.tick();
        expect(driver.run().starts.length).toEqual(2);
    });

    it("starts nothing more once its limit is lowered, and stops nothing", () => {
        const driver = makeDriver(makeOrganisation("north", 8));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 12 })], { organisation: north }));
        const { starts } = driver.run();
        driver.confirm(...starts);
        driver.cell.configure(configurationOf(2, makeOrganisation("north", 3)));
        starts.slice(0, 5).forEach(start => driver.end(start));
        const after = driver.run();
        expect([after.starts.length, after.stops.length]).toEqual([0, 0]);
        driver.end(starts[5]);
        expect(driver.run().starts.length).toEqual(1);
    });
});

describe("deferrable work of an organisation", () => {
    const [urgent, deferrable] = [makeQueue("urgent", { priority: 0 }), makeQueue("deferrable", { priority: 2 })];
    const begin = (): CellDriver => {
        const all = [makeOrganisation("north", 10)];
        const driver = new CellDriver(undefined, makeConfiguration(1, [urgent, deferrable], all));
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"), makeWorker("w3"));
        const step = makeStep({ taskCount: 20 });
        driver.cell.submit(makeJob("deferrable", [step], { organisation: north, queue: deferrable.name }));
        return driver;
    };

    it("leaves a fifth of the limit to urgent jobs, which start at once", () => {
        const driver = begin();
        expect(driver.run().starts.length).toEqual(8);
        driver.cell.submit(
            makeJob("urgent", [makeStep({ taskCount: 2 })], { organisation: north, queue: urgent.name }),
        );
        expect(jobsOf(driver.run().starts)).toEqual(["urgent", "urgent"]);
    });

    it("starts even where one task exceeds its share of the limit, while less than half of the limit is used", () => {
        const small = makeOrganisation("north", 10, {
            limit: { processorThousandths: 9_000, memoryMebibytes: 0, accelerators: 0 },
        });
        const fresh = new CellDriver(undefined, makeConfiguration(1, [urgent, deferrable], [small]));
        fresh.addWorkers(makeWorker("w1"), makeWorker("w2"));
        const size = { processorThousandths: 7_500, memoryMebibytes: 1_024, accelerators: 0 };
        const job = makeJob("wide", [makeStep({ taskCount: 2, size })], {
            organisation: north,
            queue: deferrable.name,
        });
        fresh.cell.submit(job);
        expect(fresh.run().starts.length).toEqual(1);
    });

    it("may use the whole limit where its queue is the only one", () => {
        const driver = makeDriver(makeOrganisation("north", 10));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        expect(driver.run().starts.length).toEqual(10);
    });
});

describe("a gang under its organisation's limit", () => {
    const gang = (id: string, taskCount: number) =>
        makeJob(id, [makeStep({ taskCount, isGang: true })], { organisation: north });

    it("starts as a whole or not at all", () => {
        const driver = makeDriver(makeOrganisation("north", 6));
        driver.cell.submit(gang("first", 4));
        driver.cell.submit(gang("second", 4));
        const { starts } = driver.run();
        expect(jobsOf(starts)).toEqual(["first", "first", "first", "first"]);
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
        expect(driver.run().starts.length).toEqual(4);
    });

    it("blocks less urgent work of its organisation until it fits, while others' work continues", () => {
        const driver = makeDriver(makeOrganisation("north", 6), makeOrganisation("south", 6));
        driver.cell.submit(makeJob("small", [makeStep({ taskCount: 4 })], { organisation: north }));
        const before = driver.run().starts;
        driver.confirm(...before);
        driver.cell.submit(gang("gang", 6));
        driver.run();
        driver.clock.advance(1_100);
        driver.cell.submit(makeJob("later", [makeStep({ taskCount: 9 })], { organisation: north }));
        driver.cell.submit(makeJob("other", [makeStep({ taskCount: 2 })], { organisation: south }));
        expect(jobsOf(driver.run().starts)).toEqual(["other", "other"]);
        before.forEach(start => driver.end(start));
        expect(jobsOf(driver.run().starts)).toEqual(Array(6).fill("gang"));
    });

    it("blocks no work that does not need what it lacks", () => {
        const limit = { processorThousandths: 20_000, memoryMebibytes: 0, accelerators: 4 };
        const driver = makeDriver(makeOrganisation("north", 20, { limit }));
        driver.addWorkers(
            makeWorker("a1", { capacity: { processorThousandths: 16_000, memoryMebibytes: 65_536, accelerators: 8 } }),
        );
        const size = { processorThousandths: 1_000, memoryMebibytes: 1_024, accelerators: 1 };
        const withAccelerators = (id: string, taskCount: number, isGang: boolean) =>
            makeJob(id, [makeStep({ taskCount, isGang, size })], { organisation: north });
        driver.cell.submit(withAccelerators("running", 3, false));
        driver.confirm(...driver.run().starts);
        driver.cell.submit(withAccelerators("gang", 2, true));
        driver.run();
        driver.clock.advance(1_100);
        driver.cell.submit(withAccelerators("contending", 1, false));
        driver.cell.submit(makeJob("other", [makeStep({ taskCount: 9 })], { organisation: north }));
        expect(jobsOf(driver.run().starts)).toEqual(Array(9).fill("other"));
    });

    it("blocks nothing if the limit can never hold it", () => {
        const driver = makeDriver(makeOrganisation("north", 6));
        driver.cell.submit(gang("gang", 7));
        driver.run();
        driver.clock.advance(5_000);
        driver.cell.submit(makeJob("later", [makeStep({ taskCount: 6 })], { organisation: north }));
        expect(driver.run().starts.length).toEqual(6);
    });
});

describe("a new owner", () => {
    const names = ["w1", "w2", "w3"];
    const listAgain = (driver: CellDriver, ...others: WorkerEntry[]): void =>
        driver.cell.replaceWorkerEntries([...names.map(name => makeWorker(name)), ...others]);
    /** Each worker answers its first poll with the runs that were started there. */
    const pollAll = (driver: CellDriver, starts: readonly StartCommand[]): void =>
        names.forEach(name =>
            driver.poll(name, starts.filter(({ worker }) => worker as string === name).map(start => running(start)))
        );
    const begin = (): { driver: CellDriver; starts: readonly StartCommand[]; } => {
        const driver = makeDriver(makeOrganisation("north", 4));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 8 })], { organisation: north }));
        const { starts } = driver.run();
        driver.confirm(...starts);
        return { driver, starts };
    };

    it("counts runs that an earlier owner ordered, before it has polled the workers", () => {
        const { driver, starts } = begin();
        driver.takeOver();
        const idle = makeWorker("w4");
        listAgain(driver, idle);
        driver.run();
        driver.poll("w4");
        expect(driver.run().starts).toEqual([]);
        pollAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
    });

    it("applies the recorded limit while it knows no configuration", () => {
        const { driver, starts } = begin();
        driver.takeOver(undefined, false);
        listAgain(driver);
        pollAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
        driver.end(starts[0]);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("counts runs of a cancelled job that are being stopped, also after recovery from a snapshot", () => {
        const { driver, starts } = begin();
        const [job] = driver.cell.jobs.keys();
        driver.cell.cancel(job);
        driver.cell.submit(makeJob("next", [makeStep({ taskCount: 4 })], { organisation: north }));
        driver.run();
        driver.takeOver(JSON.parse(JSON.stringify(driver.cell.snapshot())) as ReturnType<typeof driver.cell.snapshot>);
        const idle = makeWorker("w4");
        listAgain(driver, idle);
        driver.run();
        driver.poll("w4");
        expect(driver.run().starts).toEqual([]);
        pollAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
        starts.forEach(start => driver.end(start));
        expect(jobsOf(driver.run().starts)).toEqual(Array(4).fill("next"));
    });

    it("stops runs of a cancelled job once workers report them", () => {
        const { driver, starts } = begin();
        const [job] = driver.cell.jobs.keys();
        driver.cell.cancel(job);
        driver.decide();
        driver.commit();
        driver.takeOver();
        listAgain(driver);
        pollAll(driver, starts);
        expect(driver.run().stops.length).toEqual(4);
    });

    it("knows the organisation of a job that has ended", () => {
        const { driver } = begin();
        const [job] = driver.cell.jobs.keys();
        driver.cell.cancel(job);
        driver.run();
        driver.takeOver(driver.cell.snapshot());
        expect(driver.cell.jobs.get(job)?.organisation).toEqual(north);
    });
});
