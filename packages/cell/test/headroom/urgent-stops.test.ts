import { organisationName, queueName } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type JobDefinition, type Organisation, RunEnd, type StartCommand } from "../../src/index.js";
import {
    CellDriver,
    makeConfiguration,
    makeJob,
    makeOrganisation,
    makeQueue,
    makeStep,
    makeWorker,
    running,
} from "../support/index.js";

const queues = [makeQueue("urgent", { priority: 0 }), makeQueue("patient", { priority: 2, extension: 10 })];
const workers = [makeWorker("w1"), makeWorker("w2")];
/** Four of its tasks fill a worker. */
const patientStep = makeStep({
    taskCount: 8,
    size: { processorThousandths: 2_000, memoryMebibytes: 1_024, accelerators: 0 },
    estimate: 20_000,
    savesProgress: true,
});
const urgentStep = makeStep({ estimate: 300 });

const jobOf = (queue: string, id: string, step = urgentStep, changes: Partial<JobDefinition> = {}): JobDefinition =>
    makeJob(id, [step], { queue: queueName(queue), ...changes });

/** Two workers that patient tasks fill, each of which has done a quarter. */
const filled = (
    step = patientStep,
    organisations: readonly Organisation[] = [],
    changes: Partial<JobDefinition> = {},
): { driver: CellDriver; starts: readonly StartCommand[]; } => {
    const driver = new CellDriver(undefined, makeConfiguration(1, queues, organisations));
    driver.addWorkers(...workers);
    driver.cell.submit(jobOf("patient", "patient", step, changes));
    const { starts } = driver.run();
    driver.confirm(...starts);
    driver.clock.advance(500);
    showAll(driver, starts, () => 25);
    return { driver, starts };
};

/** Looks at all workers. */
const showAll = (
    driver: CellDriver,
    starts: readonly StartCommand[],
    percentOf: (start: StartCommand) => number,
): void =>
    workers.forEach(({ worker }) => {
        const here = starts.filter(start => start.worker === worker);
        driver.poll(worker, here.map(start => running(start, percentOf(start))), [], false);
    });

const runOf = (starts: readonly StartCommand[], task: string): StartCommand =>
    starts.find(start => start.task === task)!;

describe("an urgent step of few cores that finds no room", () => {
    it("gets that of one patient run whose progress is saved, and no more than it needs", () => {
        const { driver, starts } = filled();
        driver.cell.submit(jobOf("urgent", "urgent", { ...urgentStep, taskCount: 2 }));
        const { stops } = driver.run();
        expect(stops.length).toEqual(1);
        driver.end(runOf(starts, stops[0].task), RunEnd.Stopped, "saved");
        expect(driver.run().starts.map(({ task }) => task.split("/")[0])).toEqual(["urgent", "urgent"]);
    });

    it("waits for what is about to end by itself", () => {
        const { driver, starts } = filled();
        driver.clock.advance(500);
        showAll(driver, starts, start => start === starts[0] ? 97 : 26);
        driver.cell.submit(jobOf("urgent", "urgent"));
        expect(driver.run().stops).toEqual([]);
    });

    it("stops nothing whose progress would be lost, and nothing whose job would be late", () => {
        for (const step of [{ ...patientStep, savesProgress: false }, { ...patientStep, estimate: 300 }]) {
            const { driver } = filled(step);
            driver.cell.submit(jobOf("urgent", "urgent"));
            expect(driver.run().stops).toEqual([]);
        }
    });

    it("stops nothing where gangs share the service", () => {
        const { driver } = filled();
        driver.cell.submit(jobOf("urgent", "gang", { ...urgentStep, isGang: true, requiredLabel: "elsewhere" }));
        driver.cell.submit(jobOf("urgent", "urgent"));
        expect(driver.run().stops).toEqual([]);
    });
});

describe("a stop for urgent work", () => {
    it("is ordered once, however often its end is awaited", () => {
        const { driver } = filled();
        driver.cell.submit(jobOf("urgent", "urgent"));
        expect(driver.run().stops.length).toEqual(1);
        driver.clock.advance(300);
        expect(driver.run().stops).toEqual([]);
    });

    it("whose worker falls silent frees nothing: another is made", () => {
        const { driver } = filled();
        driver.cell.submit(jobOf("urgent", "urgent"));
        const [first] = driver.run().stops;
        driver.cell.applySilence(first.worker, driver.clock.monotonic() + 6_000);
        const { stops } = driver.run();
        expect(stops.length).toEqual(1);
        expect(stops[0].worker).not.toEqual(first.worker);
    });

    it("is neither lost nor doubled when its owner is lost", () => {
        const { driver, starts } = filled();
        driver.cell.submit(jobOf("urgent", "urgent"));
        const { stops: [stop] } = driver.run();
        driver.takeOver();
        driver.cell.updateWorkerEntries(workers, []);
        const stopped = runOf(starts, stop.task);
        for (const { worker } of workers) {
            const others = starts.filter(start => start.worker === worker && start !== stopped);
            const ends = worker === stop.worker
                ? [driver.ended(worker, stop.task, stop.run, RunEnd.Stopped, "saved")]
                : [];
            driver.poll(worker, others.map(start => running(start, 25)), ends);
        }
        const output = driver.run();
        expect(output.stops).toEqual([]);
        expect(output.starts.map(({ task }) => task.split("/")[0])).toEqual(["urgent"]);
        driver.confirm(...output.starts);
        driver.end(output.starts[0]);
        driver.clock.advance(30_000);
        const [again] = driver.run().starts;
        expect([again.task, again.checkpoint]).toEqual([stop.task, "saved"]);
    });

    it("is not made for work that its organisation's limit has no place for, once that has fallen", () => {
        const north = { organisation: organisationName("north") };
        const { driver } = filled(patientStep, [makeOrganisation("north", 24)], north);
        driver.cell.configure(makeConfiguration(2, queues, [makeOrganisation("north", 12)]));
        driver.cell.submit(jobOf("urgent", "urgent", urgentStep, north));
        expect(driver.run().stops).toEqual([]);
    });
});
