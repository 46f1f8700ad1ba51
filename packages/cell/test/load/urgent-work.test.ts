import { expect } from "earl";
import { describe, it } from "node:test";
import { fullKioskLoad, type Outcome, Replay } from "../support/load/index.js";

const play = (seed: number): Outcome => new Replay({ ...fullKioskLoad, seed }).run();

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

describe("load of urgent narrow jobs on a service that deferrable work would fill", () => {
    it("serves urgent jobs, also those of a burst, while deferrable ones are on time", () => {
        const outcomes = [play(1), play(2)];
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.95);
        outcomes.forEach(({ queues, violations }) => {
            expect(queues["patient"].all.share).toBeGreaterThan(0.9);
            expect(violations).toEqual([]);
        });
    });
});
