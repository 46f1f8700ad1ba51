import { ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { BurnRecorder, computeBurnRows, mergeBuckets } from "../../src/index.js";

describe("service-level burn", () => {
    it("merges the buckets of several gateways and computes burn and remaining budget by window", () => {
        const clock = new ManualClock();
        const [first, second] = [new BurnRecorder(clock), new BurnRecorder(clock)];
        for (let index = 0; index < 100; index++) {
            first.record("prompts", index >= 2);
        }
        clock.advance(30 * 60_000);
        for (let index = 0; index < 100; index++) {
            second.record("prompts", true);
        }
        const rows = computeBurnRows(mergeBuckets([first.buckets(), second.buckets()]), clock.now(), 0.99);
        const shown = rows.map(
            row => [
                row.windowMinutes,
                row.total,
                row.bad,
                Math.round(row.burnRate * 100),
                Math.round(row.budgetLeft * 100),
            ],
        );
        expect(shown).toEqual([
            [5, 100, 0, 0, 100],
            [60, 200, 2, 100, 0],
            [360, 200, 2, 100, 0],
            [4320, 200, 2, 100, 0],
        ]);
    });

    it("reports a burn of 0 without requests", () => {
        expect(computeBurnRows({ prompts: [] }, new Date(0), 0.99).every(row => row.burnRate === 0)).toEqual(true);
    });
});
