/* Guards against a record at each tick for a run that was taken for lost and that its worker reports again. */
import type { Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { StartCommand, StepDefinition, WorkerRun } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker, running } from "../support/index.js";

const tickInterval: Milliseconds = 50;

/** Lets time pass with a poll before each tick, unless `worker` is undefined; returns the last start meanwhile. */
const advance = (
    driver: CellDriver,
    duration: Milliseconds,
    worker?: string,
    runs: readonly WorkerRun[] = [],
): StartCommand | undefined => {
    let start: StartCommand | undefined;
    for (let passed = 0; passed < duration; passed += tickInterval) {
        driver.clock.advance(tickInterval);
        if (worker !== undefined) {
            driver.poll(worker, runs, [], false);
        }
        driver.cell.tick();
        start = driver.run().starts.at(-1) ?? start;
    }
    return start;
};

const loseWorker = (driver: CellDriver, worker: string): void => {
    driver.cell.applySilence(idOf(worker), driver.clock.monotonic() + 200, { cause: "refused", heardAgo: 5 });
};

/** Runs a task at w1 for `duration`, loses that worker, and starts the task again at w2. */
const startAgain = (step: StepDefinition, duration: Milliseconds) => {
    const driver = new CellDriver();
    driver.addWorkers(makeWorker("w1"));
    driver.cell.submit(makeJob("a", [step]));
    const [first] = driver.run().starts;
    driver.confirm(first);
    advance(driver, duration, "w1", [running(first)]);
    loseWorker(driver, "w1");
    advance(driver, 500);
    driver.addWorkers(makeWorker("w2"));
    const second = advance(driver, 5_000, "w2");
    driver.confirm(second!);
    advance(driver, 100, "w2", [running(second!)]);
    return { driver, first, second };
};

describe("a run that was taken for lost with its worker, of a task with another strike", () => {
    it("is not recorded as past its start when its worker reports it again", () => {
        const { driver, second } = startAgain(makeStep(), 2_000);
        expect(second?.worker).toEqual(idOf("w2"));
        loseWorker(driver, "w2");
        advance(driver, 500);
        driver.poll("w2", [running(second!)]);
        advance(driver, 1_000, "w2", [running(second!)]);
        const countOf = (wanted: string) => driver.records.filter(({ kind }) => kind === wanted).length;
        expect([countOf("lost"), countOf("cleared"), countOf("past-start")]).toEqual([2, 0, 0]);
    });
});

describe("a run that was taken for lost and is reported after its task was started again", () => {
    const reportAgain = (allowsCopies: boolean) => {
        const { driver, first, second } = startAgain(makeStep({ allowsCopies }), 1_000);
        driver.poll("w1", [running(first)]);
        const { stops } = driver.run();
        return { first, second, stops };
    };

    /* Guards against two runs of one task that go on beside each other until one of them ends. */
    it("is stopped, and the other one goes on", () => {
        const { first, second, stops } = reportAgain(false);
        expect(second?.worker).toEqual(idOf("w2"));
        expect(stops.map(({ worker, run }) => [worker, run])).toEqual([[idOf("w1"), first.run]]);
    });

    it("goes on where the step allows copies", () => {
        expect(reportAgain(true).stops).toEqual([]);
    });
});
