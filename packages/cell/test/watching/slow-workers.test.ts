import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { Fleet, type FleetOptions } from "../support/index.js";

const seeds = [1, 2, 3, 4, 5, 6];
/** A slow worker is found within this time. */
const foundWithin: Milliseconds = 1_500;
/** Where fewer tasks are at work, one whose work is larger than its step's others can't be told from a slow worker. */
const fewestTasks = 4;
/** Tasks that began no earlier were never seen at full speed. */
const knownFor: Milliseconds = 1_000;
/** Estimates are off by up to two and a half times, sound workers by up to two and a half times in speed. */
const usual: FleetOptions = {
    seed: 1,
    speeds: [0.55, 1.2, 1, 1.3, 1.2],
    workers: 40,
    estimateError: 0.9,
    width: [3, 24],
    work: [1_500, 6_000],
};
const narrow: FleetOptions = { ...usual, width: [1, 6], work: [300, 1_200] };

/** Those of some workers that were judged slow in time, as a share. */
const foundShare = (fleet: Fleet, slow: readonly WorkerId[], since: Milliseconds): number =>
    slow.filter(id => (fleet.judgedSlowAt.get(id) ?? Infinity) <= since + foundWithin).length / slow.length;

const foundOf = (terms: FleetOptions, factor: number, pick: (fleet: Fleet) => readonly WorkerId[]): readonly number[] =>
    seeds.map(seed => {
        const fleet = new Fleet({ ...terms, seed });
        fleet.run(6_000);
        const slow = pick(fleet);
        const since = fleet.driver.clock.monotonic();
        fleet.slowDown(slow, factor);
        fleet.run(foundWithin);
        return foundShare(fleet, slow, since);
    });

const judgedOf = (terms: FleetOptions): readonly number[] =>
    seeds.map(seed => {
        const fleet = new Fleet({ ...terms, seed });
        fleet.run(20_000);
        return fleet.judgedSlowAt.size;
    });

const none = seeds.map(() => 0);
const all = seeds.map(() => 1);

describe("sound workers of uneven speed", () => {
    it("are not taken for slow while estimates are off by two and a half times", () => {
        expect(judgedOf(usual)).toEqual(none);
    });

    it("are not taken for slow while estimates are off tenfold", () => {
        expect(judgedOf({ ...usual, estimateError: 2.3 })).toEqual(none);
    });

    it("are not taken for slow under short tasks", () => {
        expect(judgedOf({ ...narrow, estimateError: 2.3 })).toEqual(none);
    });
});

describe("workers that turn slow while estimates are off tenfold", () => {
    const terms = { ...usual, estimateError: 2.3 };

    const oneIn = (count: number) => (fleet: Fleet): readonly WorkerId[] =>
        fleet.workersWithTasks(fewestTasks, knownFor).filter((_, index) => index % count === 0);

    it("are found in time at a quarter of their speed", () => {
        expect(foundOf(terms, 4, oneIn(terms.workers))).toEqual(all);
    });

    it("are found in time when they stand still", () => {
        expect(foundOf(terms, Infinity, oneIn(terms.workers))).toEqual(all);
    });

    it("are found in time when a sixth of all turns slow at once", () => {
        expect(foundOf(terms, 4, oneIn(6))).toEqual(all);
        expect(foundOf(terms, 8, oneIn(6))).toEqual(all);
    });

    it("are found in time when they have all tasks of a job", () => {
        const hasEnough = (fleet: Fleet) =>
            fleet.workersOfWidestJob(12).filter(id => fleet.workersWithTasks(fewestTasks, knownFor).includes(id));
        expect(foundOf(terms, 4, hasEnough)).toEqual(all);
    });
});
