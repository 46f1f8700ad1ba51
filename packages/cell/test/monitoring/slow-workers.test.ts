import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Fleet, type FleetOptions } from "../support/index.js";

const seeds = [1, 2, 3, 4, 5, 6];
/** Time within which a slow worker must be detected. */
const detectionTime: Milliseconds = 1_500;
/** With fewer tasks on a worker, a single larger task can't be distinguished from a slow worker. */
const minTasks = 4;
/** Tasks must have run for this long for their full speed to be known. */
const minRunTime: Milliseconds = 1_000;
/** Estimates are off by up to two and a half times, and healthy workers differ by as much in speed. */
const usual: FleetOptions = {
    seed: 1,
    speeds: [0.55, 1.2, 1, 1.3, 1.2],
    workers: 40,
    estimateError: 0.9,
    width: [3, 24],
    work: [1_500, 6_000],
};
const narrow: FleetOptions = { ...usual, width: [1, 6], work: [300, 1_200] };

/** Share of some workers that were detected in time. */
const detectedShare = (fleet: Fleet, slow: readonly WorkerId[], since: Milliseconds): number =>
    slow.filter(id => (fleet.judgedSlowAt.get(id) ?? Infinity) <= since + detectionTime).length / slow.length;

const detectedShares = (
    terms: FleetOptions,
    factor: number,
    pick: (fleet: Fleet) => readonly WorkerId[],
): readonly number[] =>
    seeds.map(seed => {
        const fleet = new Fleet({ ...terms, seed });
        fleet.run(6_000);
        const slow = pick(fleet);
        const since = fleet.driver.clock.monotonic();
        fleet.slowDown(slow, factor);
        fleet.run(detectionTime);
        return detectedShare(fleet, slow, since);
    });

const detectedCounts = (terms: FleetOptions): readonly number[] =>
    seeds.map(seed => {
        const fleet = new Fleet({ ...terms, seed });
        fleet.run(20_000);
        return fleet.judgedSlowAt.size;
    });

const none = seeds.map(() => 0);
const all = seeds.map(() => 1);

describe("healthy workers of uneven speed", () => {
    it("do not count as slow while estimates are off by two and a half times", () => {
        expect(detectedCounts(usual)).toEqual(none);
    });

    it("do not count as slow while estimates are off tenfold", () => {
        expect(detectedCounts({ ...usual, estimateError: 2.3 })).toEqual(none);
    });

    it("do not count as slow with short tasks", () => {
        expect(detectedCounts({ ...narrow, estimateError: 2.3 })).toEqual(none);
    });
});

describe("workers that become slow while estimates are off tenfold", () => {
    const terms = { ...usual, estimateError: 2.3 };

    const oneIn = (count: number) => (fleet: Fleet): readonly WorkerId[] =>
        fleet.workersWithTasks(minTasks, minRunTime).filter((_, index) => index % count === 0);

    it("are detected in time at a quarter of their speed", () => {
        expect(detectedShares(terms, 4, oneIn(terms.workers))).toEqual(all);
    });

    it("are detected in time when they stall", () => {
        expect(detectedShares(terms, Infinity, oneIn(terms.workers))).toEqual(all);
    });

    it("are detected in time when a sixth of all become slow at once", () => {
        expect(detectedShares(terms, 4, oneIn(6))).toEqual(all);
        expect(detectedShares(terms, 8, oneIn(6))).toEqual(all);
    });

    it("are detected in time when they run all tasks of a job", () => {
        const withEnoughTasks = (fleet: Fleet) =>
            fleet.workersOfWidestJob(12).filter(id => fleet.workersWithTasks(minTasks, minRunTime).includes(id));
        expect(detectedShares(terms, 4, withEnoughTasks)).toEqual(all);
    });
});
