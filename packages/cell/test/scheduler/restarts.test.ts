/*
 * A worker that was started again under its id may be of another kind. What the advice service said of its former life was kept by
 * id, so a worker that was refused once was never asked about again, and one that was permitted was sent starts with tickets that it refused.
 */
import { logEvents, workerIncarnation } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Permit } from "../../src/index.js";
import { CellDriver, idOf, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const worker = idOf("w");
const validity = 60_000;
const formerLife = workerIncarnation(1_000);
const presentLife = workerIncarnation(2_000);

/** A cell of one worker with a step that its service has judged on. */
const begin = (permits: readonly Permit[]): CellDriver => {
    const advice = { decision: 10, eachWorker: 1, validity };
    const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { advice })]));
    driver.addWorkers(makeWorker("w", { life: formerLife }));
    driver.cell.submit(makeJob("j", [makeStep()]));
    const questions = [...driver.run().questions, ...driver.run().questions];
    expect(questions.flatMap(({ workers }) => workers)).toEqual([worker]);
    questions.forEach(({ step, workers }) =>
        driver.cell.applyAdvice(step, workers, { kind: "advised", permits, validity })
    );
    return driver;
};

const restart = (driver: CellDriver): void => {
    driver.cell.applyRestart(worker, presentLife);
    driver.cell.updateWorkerEntries([makeWorker("w", { life: presentLife })], []);
    driver.run();
    driver.poll("w");
    driver.clock.advance(1_000);
};

describe("what the advice service said of a worker's former life", () => {
    it("says nothing of the next one, which is asked about anew", () => {
        for (const permits of [[], [{ worker, ticket: "former" }]]) {
            const driver = begin(permits);
            restart(driver);
            const { questions, starts } = driver.run();
            expect(starts).toEqual([]);
            expect(questions.flatMap(question => question.workers)).toEqual([worker]);
        }
    });
});

describe("a worker that was given up as silent and comes back under its id", () => {
    /** A run goes with its worker, which is dropped once its leases are over, and is listed again. */
    const comeBack = (life: typeof formerLife): unknown[] => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w", { life: formerLife }));
        driver.cell.submit(makeJob("j", [makeStep()]));
        driver.run();
        driver.confirm(...driver.run().starts);
        driver.cell.applySilence(worker, driver.clock.monotonic() + 1_000);
        driver.cell.updateWorkerEntries([], [worker]);
        driver.clock.advance(2_000);
        driver.cell.tick();
        driver.cell.updateWorkerEntries([makeWorker("w", { life })], []);
        driver.run();
        driver.poll("w");
        return driver.logged.filter(({ event }) => event === logEvents.silenceExplained)
            .map(({ fields }) => fields["isCrash"]);
    };

    it("has crashed when it is another life, and lived on when it is the same", () => {
        expect(comeBack(presentLife)).toEqual([true]);
        expect(comeBack(formerLife)).toEqual([false]);
    });
});

describe("a restart that an owner did not live to settle", () => {
    it("is settled by the next one, which holds the crash against what was ordered of the former life", () => {
        for (const fromSnapshot of [false, true]) {
            const driver = new CellDriver();
            driver.addWorkers(makeWorker("w", { life: formerLife }));
            driver.cell.submit(makeJob("j", [makeStep()]));
            expect([...driver.run().starts, ...driver.run().starts].length).toEqual(1);
            driver.cell.applyRestart(worker, presentLife);
            driver.run();
            const snapshot = JSON.parse(JSON.stringify(driver.cell.snapshot())) as ReturnType<
                typeof driver.cell.snapshot
            >;
            driver.takeOver(fromSnapshot ? snapshot : undefined);
            expect(JSON.stringify(driver.cell.snapshot())).toEqual(JSON.stringify(snapshot));
            driver.cell.updateWorkerEntries([makeWorker("w", { life: presentLife })], []);
            driver.poll("w");
            const lost = driver.logged.filter(({ event }) => event === logEvents.runLost);
            expect(lost.map(({ fields }) => fields["cause"])).toEqual(["crashed"]);
            expect(driver.run().starts.map(start => Number(start.run))).toEqual([2]);
        }
    });
});

describe("a worker that the journal names without a life", () => {
    it("is used as it is listed once the life that its entry names answers, though another one had answered before", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w"));
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w", { life: presentLife })], []);
        driver.poll("w");
        driver.cell.applyRestart(worker, presentLife);
        driver.run();
        driver.poll("w");
        driver.run();
        expect(driver.cell.workers.get(worker)?.isOpen(driver.clock.monotonic())).toEqual(true);
    });
});
