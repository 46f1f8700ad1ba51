/*
 * Guards against tasks running twice: a worker that waits for more acknowledgements than fit into one answer lists neither the runs that have
 * ended since nor their ends, and the owner took them for lost.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState, RunEnd, type StartCommand } from "../../src/index.js";
import { CellDriver, makeJob, makeStep, makeWorker, running } from "../support/index.js";

const started = () => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"));
    const job = driver.cell.submit(makeJob("j", [makeStep({ taskCount: 3 })]))!;
    const { starts } = driver.run();
    return { driver, job, starts };
};

/** Ends of runs in the order in which their worker numbers them. */
const endsOf = (driver: CellDriver, starts: readonly StartCommand[]) =>
    starts.map(({ worker, task, run }) => driver.ended(worker, task, run, RunEnd.Done));

describe("a poll that may not list all ends", () => {
    it("takes no run for lost", () => {
        const { driver, job, starts } = started();
        driver.confirm(...starts);
        driver.clock.advance(1_000);
        const [first, second, third] = endsOf(driver, starts);
        driver.pollCutShort("w1", [], [first]);
        expect(driver.run().starts).toEqual([]);
        driver.poll("w1", [], [second, third], false);
        expect(driver.run().starts).toEqual([]);
        expect(driver.cell.stateOf(job.id)).toEqual(CellJobState.Completed);
    });

    it("does not settle orders of a former owner", () => {
        const { driver, job, starts } = started();
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        const [first, second, third] = endsOf(driver, starts);
        driver.pollCutShort("w1", [], [first]);
        expect(driver.run().starts).toEqual([]);
        driver.poll("w1", [], [second, third]);
        expect(driver.run().starts).toEqual([]);
        expect(driver.cell.stateOf(job.id)).toEqual(CellJobState.Completed);
    });

    it("still shows which runs go on, and lets the next poll that lists all ends settle the others", () => {
        const { driver, starts } = started();
        const [first, second, third] = starts;
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w1")], []);
        driver.pollCutShort("w1", [running(first)], endsOf(driver, [second]));
        driver.poll("w1", [running(first)]);
        const again = driver.run().starts;
        expect(again.map(({ task, run }) => [task, Number(run)])).toEqual([[third.task, 2]]);
    });
});
