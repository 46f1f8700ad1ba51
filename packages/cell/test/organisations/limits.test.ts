/** Organisations at their limits: what starts, what waits, and what that takes from others. */
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
    it("starts as many tasks as its limit holds, and more as they end", () => {
        const driver = makeDriver(makeOrganisation("north", 5));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 9 })], { organisation: north }));
        const { starts } = driver.run();
        expect(starts.length).toEqual(5);
        driver.confirm(...starts);
        driver.end(starts[0]);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("is told of with what it has, what it may have and what waits", () => {
        const driver = makeDriver(makeOrganisation("north", 2), makeOrganisation("south", 24));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        driver.run();
        const told = { processor: 2_000, mostProcessor: 2_000, memory: 2_048, mostMemory: 0 };
        expect(driver.cell.summary().atLimit).toEqual([{ organisation: north, tasks: 18, ...told }]);
    });

    it("takes nothing from others", () => {
        const driver = makeDriver(makeOrganisation("north", 2), makeOrganisation("south", 24));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        driver.cell.submit(makeJob("s", [makeStep({ taskCount: 20 })], { organisation: south }));
        const jobs = jobsOf(driver.run().starts);
        expect([jobs.filter(job => job === "n").length, jobs.filter(job => job === "s").length]).toEqual([2, 20]);
    });

    it("asks no advice for what can't start", () => {
        const driver = makeDriver(makeOrganisation("north", 1));
        const job = makeJob("n", [makeStep({ taskCount: 3, isGang: true })], { organisation: north });
        driver.cell.submit({ ...job, queue: queues[1].name });
        expect(driver.run().questions).toEqual([]);
    });

    it("counts runs whose stop was ordered until their end is seen", () => {
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

    it("counts runs at a worker that is not heard until its leases are over", () => {
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

    it("starts nothing more once its limit falls, and stops nothing", () => {
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

describe("patient work of an organisation", () => {
    const [urgent, patient] = [makeQueue("urgent", { priority: 0 }), makeQueue("patient", { priority: 2 })];
    const begin = (): CellDriver => {
        const all = [makeOrganisation("north", 10)];
        const driver = new CellDriver(undefined, makeConfiguration(1, [urgent, patient], all));
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"), makeWorker("w3"));
        const step = makeStep({ taskCount: 20 });
        driver.cell.submit(makeJob("patient", [step], { organisation: north, queue: patient.name }));
        return driver;
    };

    it("leaves a fifth of its limit to urgent jobs, which start at once", () => {
        const driver = begin();
        expect(driver.run().starts.length).toEqual(8);
        driver.cell.submit(
            makeJob("urgent", [makeStep({ taskCount: 2 })], { organisation: north, queue: urgent.name }),
        );
        expect(jobsOf(driver.run().starts)).toEqual(["urgent", "urgent"]);
    });

    it("starts even if one task takes more than that of the limit, while its organisation has less than half of it", () => {
        const small = makeOrganisation("north", 10, {
            limit: { processorThousandths: 9_000, memoryMebibytes: 0, accelerators: 0 },
        });
        const fresh = new CellDriver(undefined, makeConfiguration(1, [urgent, patient], [small]));
        fresh.addWorkers(makeWorker("w1"), makeWorker("w2"));
        const size = { processorThousandths: 7_500, memoryMebibytes: 1_024, accelerators: 0 };
        const job = makeJob("wide", [makeStep({ taskCount: 2, size })], { organisation: north, queue: patient.name });
        fresh.cell.submit(job);
        expect(fresh.run().starts.length).toEqual(1);
    });

    it("is all that there is where its queue is the only one", () => {
        const driver = makeDriver(makeOrganisation("north", 10));
        driver.cell.submit(makeJob("n", [makeStep({ taskCount: 20 })], { organisation: north }));
        expect(driver.run().starts.length).toEqual(10);
    });
});

describe("a gang under its organisation's limit", () => {
    const gang = (id: string, taskCount: number) =>
        makeJob(id, [makeStep({ taskCount, isGang: true })], { organisation: north });

    it("starts whole or not at all", () => {
        const driver = makeDriver(makeOrganisation("north", 6));
        driver.cell.submit(gang("first", 4));
        driver.cell.submit(gang("second", 4));
        const { starts } = driver.run();
        expect(jobsOf(starts)).toEqual(["first", "first", "first", "first"]);
        driver.confirm(...starts);
        starts.forEach(start => driver.end(start));
        expect(driver.run().starts.length).toEqual(4);
    });

    it("gets its limit free of less urgent work of its organisation in the end, others' work goes on", () => {
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

    it("that its limit can never hold keeps nobody waiting", () => {
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
    /** Each worker answers its first look with what was started there. */
    const lookAtAll = (driver: CellDriver, starts: readonly StartCommand[]): void =>
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

    it("counts what a former owner ordered, before it has seen the workers", () => {
        const { driver, starts } = begin();
        driver.takeOver();
        const idle = makeWorker("w4");
        listAgain(driver, idle);
        driver.run();
        driver.poll("w4");
        expect(driver.run().starts).toEqual([]);
        lookAtAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
    });

    it("keeps the limit of the record while it knows no configuration", () => {
        const { driver, starts } = begin();
        driver.takeOver(undefined, false);
        listAgain(driver);
        lookAtAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
        driver.end(starts[0]);
        expect(driver.run().starts.length).toEqual(1);
    });

    it("counts what is being stopped of a cancelled job, also when it took over a snapshot", () => {
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
        lookAtAll(driver, starts);
        expect(driver.run().starts).toEqual([]);
        starts.forEach(start => driver.end(start));
        expect(jobsOf(driver.run().starts)).toEqual(Array(4).fill("next"));
    });

    it("has what runs of a cancelled job stopped once it sees it", () => {
        const { driver, starts } = begin();
        const [job] = driver.cell.jobs.keys();
        driver.cell.cancel(job);
        driver.decide();
        driver.commit();
        driver.takeOver();
        listAgain(driver);
        lookAtAll(driver, starts);
        expect(driver.run().stops.length).toEqual(4);
    });

    it("knows whose a job was that is over", () => {
        const { driver } = begin();
        const [job] = driver.cell.jobs.keys();
        driver.cell.cancel(job);
        driver.run();
        driver.takeOver(driver.cell.snapshot());
        expect(driver.cell.jobs.get(job)?.organisation).toEqual(north);
    });
});
