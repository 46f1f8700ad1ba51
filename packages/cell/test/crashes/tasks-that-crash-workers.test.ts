/*
 * A few jobs held a task under which each worker that started it crashed after some 10 ms. Only ends that a worker listed as
 * failed were counted, and a crashed worker lists none, so nothing limited the starts of these tasks: two of them stood at runs
 * 34 and 35 when the day ended, 291 workers had been started anew, and four or five of 33 were down at any moment (4401). The log
 * showed a start 22 ms after the proof of the last crash: 4205 "another life of the worker answers at its address" for run 6 at
 * 29.295 s, 4201 for run 7. What ran beside them was lost as often: 17 of the 22 runs that 4205 names in 2.4 s.
 */
import { jobId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState } from "../../src/index.js";
import { CrashingCell, makeJob, makeStep, type TaskBehaviour } from "../support/index.js";

const atFault: TaskBehaviour = { crashesAfter: 10, duration: 640 };
const innocent: TaskBehaviour = { crashesAfter: undefined, duration: 640 };
/** Starts after which nothing more of a task may be started: as many workers have crashed under it. */
const mostCrashes = 3;

describe("a task that crashes each worker that starts it", () => {
    it("is given up after three workers, and its job is shown as failed", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? atFault : innocent);
        const job = cell.driver.cell.submit(makeJob("bad", [makeStep()]))!;
        cell.advance(120_000);
        expect(cell.startsOf("bad/0/0/0").length).toEqual(mostCrashes);
        expect(cell.driver.cell.stateOf(job.id)).toEqual(CellJobState.Failed);
    });

    it("is given up as soon under owners that follow each other", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? atFault : innocent);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        for (let owner = 0; owner < 30; owner++) {
            cell.advance(4_300);
            cell.takeOver();
        }
        expect(cell.startsOf("bad/0/0/0").length <= mostCrashes + 2).toEqual(true);
        expect(cell.driver.cell.stateOf(jobId("bad"))).toEqual(CellJobState.Failed);
    });
});
