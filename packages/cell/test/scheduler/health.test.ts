import { jobId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RunEnd } from "../../src/index.js";
import { CellDriver, idOf, makeJob, makeStep, makeWorker } from "../support/index.js";

describe("a worker whose runs fail", () => {
    it("is quarantined, then gets one run at a time until one succeeds", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("bad"), makeWorker("w1"), makeWorker("w2"));
        for (const id of ["j", "k"]) {
            driver.cell.submit(makeJob(id, [makeStep()]));
        }
        const first = driver.run().starts;
        expect(first.every(start => start.worker === idOf("bad"))).toEqual(true);
        first.forEach(start => driver.end(start, RunEnd.Failed));
        driver.cell.submit(makeJob("l", [makeStep({ taskCount: 24 })]));
        const { starts } = driver.run();
        expect(starts.some(start => start.worker === idOf("bad"))).toEqual(false);
        driver.clock.advance(2_000);
        driver.cell.tick();
        const trial = driver.run().starts.filter(start => start.worker === idOf("bad"));
        expect(trial.length).toEqual(1);
        driver.end(trial[0]);
        expect(driver.run().starts.filter(start => start.worker === idOf("bad")).length > 1).toEqual(true);
    });

    it("is not blamed for a job that also fails on other workers", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"), makeWorker("w3"));
        driver.cell.submit(makeJob("j", [makeStep({ taskCount: 24 })]));
        driver.run().starts.forEach(start => driver.end(start, RunEnd.Failed));
        driver.cell.submit(makeJob("k", [makeStep({ taskCount: 24 })]));
        const used = new Set(driver.run().starts.map(start => String(start.worker)));
        expect(used.size).toEqual(3);
    });

    it("does not get the next attempt of a task that failed there", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("w1"), makeWorker("w2"));
        driver.cell.submit(makeJob("j", [makeStep()]));
        const [first] = driver.run().starts;
        driver.end(first, RunEnd.Failed);
        driver.clock.advance(1_000);
        const [second] = driver.run().starts;
        expect(second.worker === first.worker).toEqual(false);
    });

    it("gets a gang that needs it when no other task arrives to probe it", () => {
        const driver = new CellDriver();
        driver.addWorkers(makeWorker("bad"), makeWorker("w1"), makeWorker("w2"));
        for (const id of ["j", "k"]) {
            driver.cell.submit(makeJob(id, [makeStep()]));
        }
        driver.run().starts.forEach(start => driver.end(start, RunEnd.Failed));
        ["j", "k"].forEach(id => driver.cell.cancel(jobId(id)));
        // The members need the whole capacity of three workers.
        driver.cell.submit(makeJob("gang", [makeStep({ taskCount: 24, isGang: true })]));
        let started = 0;
        for (let waited = 0; started === 0 && waited < 20_000; waited += 100) {
            driver.clock.advance(100);
            driver.cell.tick();
            started = driver.run().starts.length;
        }
        expect(started).toEqual(24);
    });
});
