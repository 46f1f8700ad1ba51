/* Guards against unlimited restarts of a task that crashes its workers: a crashed worker reports no failed run that would count. */
import { jobId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CellJobState } from "../../src/index.js";
import { type Conduct, CrashingCell, makeJob, makeStep } from "../support/index.js";

const atFault: Conduct = { crashesAfter: 10, takes: 640 };
const innocent: Conduct = { crashesAfter: undefined, takes: 640 };
/** Number of crashes after which a task must not be started again. */
const mostCrashes = 3;

describe("a task that crashes each worker that starts it", () => {
    it("is given up after three workers, and its job is reported as failed", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? atFault : innocent);
        const job = cell.driver.cell.submit(makeJob("bad", [makeStep()]))!;
        cell.pass(120_000);
        expect(cell.startsOf("bad/0/0/0").length).toEqual(mostCrashes);
        expect(cell.driver.cell.stateOf(job.id)).toEqual(CellJobState.Failed);
    });

    it("is given up nearly as soon when the owner changes repeatedly", () => {
        const cell = new CrashingCell(33, task => task.startsWith("bad") ? atFault : innocent);
        cell.driver.cell.submit(makeJob("bad", [makeStep()]));
        for (let owner = 0; owner < 30; owner++) {
            cell.pass(4_300);
            cell.takeOver();
        }
        expect(cell.startsOf("bad/0/0/0").length <= mostCrashes + 2).toEqual(true);
        expect(cell.driver.cell.stateOf(jobId("bad"))).toEqual(CellJobState.Failed);
    });
});
