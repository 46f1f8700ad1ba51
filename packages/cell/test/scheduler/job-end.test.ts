import { jobId, logEvents } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { CrashingCell, makeJob, makeStep } from "../support/index.js";

describe("a cancelled job", () => {
    it("is logged as ended once, when the last of its runs has ended", () => {
        const cell = new CrashingCell(4, () => ({ crashesAfter: undefined, duration: 5_000 }));
        cell.driver.cell.submit(makeJob("job", [makeStep({ taskCount: 3 })]));
        cell.advance(500);
        expect(cell.starts.length).toEqual(3);
        cell.driver.cell.cancel(jobId("job"));
        const countEnds = () => cell.driver.logged.filter(({ event }) => event === logEvents.jobEnded).length;
        expect(countEnds()).toEqual(0);
        cell.advance(10_000);
        expect(countEnds()).toEqual(1);
    });
});
