/*
 * Guards against state of a former incarnation that is applied to the next one: advice kept by worker id, strikes left unexplained, and
 * orders left unresolved.
 */
import { logEvents, workerIncarnation } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import type { Permit } from "../../src/index.js";
import { CellDriver, idOf, makeConfiguration, makeJob, makeQueue, makeStep, makeWorker } from "../support/index.js";

const worker = idOf("w");
const validity = 60_000;
const formerIncarnation = workerIncarnation(1_000);
const currentIncarnation = workerIncarnation(2_000);

/** A cell of one worker, with a step about which the advice service has answered. */
const createAdvisedCell = (permits: readonly Permit[]): CellDriver => {
    const advice = { decision: 10, eachWorker: 1, validity };
    const driver = new CellDriver(undefined, makeConfiguration(1, [makeQueue("work", { advice })]));
    driver.addWorkers(makeWorker("w", { life: formerIncarnation }));
    driver.cell.submit(makeJob("j", [makeStep()]));
    const questions = [...driver.run().questions, ...driver.run().questions];
    expect(questions.flatMap(({ workers }) => workers)).toEqual([worker]);
    questions.forEach(({ step, workers }) =>
        driver.cell.applyAdvice(step, workers, { kind: "advised", permits, validity })
    );
    return driver;
};

const restart = (driver: CellDriver): void => {
    driver.cell.applyRestart(worker, currentIncarnation);
    driver.cell.updateWorkerEntries([makeWorker("w", { life: currentIncarnation })], []);
    driver.run();
    driver.poll("w");
    driver.clock.advance(1_000);
};

describe("advice about a worker's former incarnation", () => {
    it("does not apply to the next one, about which the service is asked again", () => {
        for (const permits of [[], [{ worker, ticket: "former" }]]) {
            const driver = createAdvisedCell(permits);
            restart(driver);
            const { questions, starts } = driver.run();
            expect(starts).toEqual([]);
            expect(questions.flatMap(question => question.workers)).toEqual([worker]);
        }
    });
});

describe("a worker that was removed as silent and returns under its id", () => {
    /** A worker is lost with a run, removed once its leases have expired, and listed again. */
    const returnAs = (incarnation: typeof formerIncarnation): unknown[] => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w", { life: formerIncarnation }));
        driver.cell.submit(makeJob("j", [makeStep()]));
        driver.run();
        driver.confirm(...driver.run().starts);
        driver.cell.applySilence(worker, driver.clock.monotonic() + 1_000);
        driver.cell.updateWorkerEntries([], [worker]);
        driver.clock.advance(2_000);
        driver.cell.tick();
        driver.cell.updateWorkerEntries([makeWorker("w", { life: incarnation })], []);
        driver.run();
        driver.poll("w");
        return driver.logged.filter(({ event }) => event === logEvents.silenceExplained)
            .map(({ fields }) => fields["isCrash"]);
    };

    it("has crashed if it is another incarnation, and was only unreachable if it is the same", () => {
        expect(returnAs(currentIncarnation)).toEqual([true]);
        expect(returnAs(formerIncarnation)).toEqual([false]);
    });
});

describe("a restart that an owner could not resolve before it failed", () => {
    it("is resolved by the next owner, which attributes the crash to runs ordered from the former incarnation", () => {
        for (const fromSnapshot of [false, true]) {
            const driver = new CellDriver();
            driver.addWorkers(makeWorker("w", { life: formerIncarnation }));
            driver.cell.submit(makeJob("j", [makeStep()]));
            expect([...driver.run().starts, ...driver.run().starts].length).toEqual(1);
            driver.cell.applyRestart(worker, currentIncarnation);
            driver.run();
            const snapshot = JSON.parse(JSON.stringify(driver.cell.snapshot())) as ReturnType<
                typeof driver.cell.snapshot
            >;
            driver.takeOver(fromSnapshot ? snapshot : undefined);
            expect(JSON.stringify(driver.cell.snapshot())).toEqual(JSON.stringify(snapshot));
            driver.cell.updateWorkerEntries([makeWorker("w", { life: currentIncarnation })], []);
            driver.poll("w");
            const lost = driver.logged.filter(({ event }) => event === logEvents.runLost);
            expect(lost.map(({ fields }) => fields["cause"])).toEqual(["crashed"]);
            expect(driver.run().starts.map(start => Number(start.run))).toEqual([2]);
        }
    });
});

describe("a worker that the journal names without an incarnation", () => {
    it("is used with its listed entry once the incarnation in that entry answers, although another one answered before", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w"));
        driver.takeOver();
        driver.cell.updateWorkerEntries([makeWorker("w", { life: currentIncarnation })], []);
        driver.poll("w");
        driver.cell.applyRestart(worker, currentIncarnation);
        driver.run();
        driver.poll("w");
        driver.run();
        expect(driver.cell.workers.get(worker)?.isOpen(driver.clock.monotonic())).toEqual(true);
    });
});
