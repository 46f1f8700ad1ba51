/* Guards against unlimited restarts of a task that crashes its workers: a crashed worker reports no failed run that would count. */
import { jobId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState } from "../../src/index.js";
import { CrashingCell, makeJob, makeStep, type TaskBehaviour } from "../support/index.js";

const faulty: TaskBehaviour = { crashesAfter: 10, duration: 640 };
const innocent: TaskBehaviour = { crashesAfter: undefined, duration: 640 };
/** Number of crashes after which a task must not be restarted. */
const maxCrashes = 3;

describe("a task that crashes each worker that starts it", () => {
    it("is given up after three workers, and its job is reported as failed", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? faulty : innocent);
        const job = cell.driver.cell.submit(makeJob("bad", [makeStep()]))!;
        cell.advance(120_000);
        expect(cell.startsOf("bad/0/0/0").length).toEqual(maxCrashes);
        expect(cell.driver.cell.stateOf(job.id)).toEqual(CellJobState.Failed);
    });

    it("is given up nearly as soon when the owner changes repeatedly", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? faulty : innocent);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        for (let owner = 0; owner < 30; owner++) {
            cell.advance(4_300);
            cell.takeOver();
        }
        expect(cell.startsOf("bad/0/0/0").length <= maxCrashes + 2).toEqual(true);
        expect(cell.driver.cell.stateOf(jobId("bad"))).toEqual(CellJobState.Failed);
    });

    it("is given up after four workers when the owner changes after each start", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? faulty : innocent);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        for (let starts = 0; starts < 8; starts++) {
            const before = cell.startsOf("bad/0/0/0").length;
            while (cell.startsOf("bad/0/0/0").length === before && cell.clock.monotonic() < 120_000) {
                cell.advance(50);
            }
            cell.takeOver();
        }
        // The first run began before there was a strike, so that it is not known to have crashed its worker at its start.
        expect(cell.startsOf("bad/0/0/0").length).toEqual(maxCrashes + 1);
        expect(cell.driver.cell.stateOf(jobId("bad"))).toEqual(CellJobState.Failed);
    });
});

describe("a task that has run on past its start", () => {
    it("is not taken for one at its start by the next owner", () => {
        const slow: TaskBehaviour = { crashesAfter: 1_500, duration: 5_000 };
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? slow : innocent);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        for (let starts = 0; starts < 8; starts++) {
            const before = cell.startsOf("bad/0/0/0").length;
            while (cell.startsOf("bad/0/0/0").length === before && cell.clock.monotonic() < 120_000) {
                cell.advance(50);
            }
            cell.advance(1_000);
            cell.takeOver();
        }
        expect(cell.startsOf("bad/0/0/0").length).toEqual(5);
    });

    it("is known as such from a snapshot, too", () => {
        const slow: TaskBehaviour = { crashesAfter: 1_500, duration: 5_000 };
        const cell = new CrashingCell(8, () => slow);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        while (cell.startsOf("bad/0/0/0").length < 2 && cell.clock.monotonic() < 120_000) {
            cell.advance(50);
        }
        cell.advance(1_000);
        const snapshot = cell.driver.cell.snapshot();
        cell.driver.takeOver(JSON.parse(JSON.stringify(snapshot)) as typeof snapshot);
        expect(JSON.stringify(cell.driver.cell.snapshot())).toEqual(JSON.stringify(snapshot));
        const [, , [task]] = snapshot.jobs[0].occurrences[0];
        expect(task[8]?.map(Number)).toEqual([2]);
    });
});
