import { expect } from "earl";
import { describe, it } from "node:test";
import {
    crowdedLoad,
    crowdedOutageLoad,
    fullKioskLoad,
    type LoadPattern,
    type Outcome,
    Replay,
} from "../support/load/index.js";

const play = (pattern: LoadPattern, seed: number): Outcome => new Replay({ ...pattern, seed }).run();

const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

describe("load of urgent narrow jobs on a service that deferrable work would fill", () => {
    it("serves urgent jobs, also those of a burst, while deferrable ones are on time", () => {
        const outcomes = [play(fullKioskLoad, 1), play(fullKioskLoad, 2)];
        expect(meanOf(outcomes.map(({ queues }) => queues["urgent"].all.share))).toBeGreaterThan(0.95);
        outcomes.forEach(({ queues, violations }) => {
            expect(queues["patient"].all.share).toBeGreaterThan(0.9);
            expect(violations).toEqual([]);
        });
    });
});

describe("load of twenty organisations with limits, the largest of which sends many times its usual to all queues", () => {
    it("serves urgent jobs of that organisation while its gangs wait for its limit of accelerators", () => {
        const outcomes = [play(crowdedLoad, 1), play(crowdedLoad, 2)];
        expect(meanOf(outcomes.map(({ unservedShare }) => unservedShare))).toBeLessThan(0.05);
        outcomes.forEach(({ violations }) => expect(violations).toEqual([]));
    });

    it("serves most of what waited through two pauses of the owner", () => {
        const { unservedShare, violations } = play(crowdedOutageLoad, 1);
        expect(unservedShare).toBeLessThan(0.08);
        expect(violations).toEqual([]);
    });
});
