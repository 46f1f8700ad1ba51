import { expect } from "earl";
import { describe, it } from "node:test";
import { type Faults, noFaults, SimulatedCell } from "../support/index.js";

const seeds = 40;
const stepsUnderFaults = 400;
/** Steps of 50 ms after the faults in which every job must reach its end: 100 s. */
const stepsToFinish = 2_000;
const mostJobs = 30;
const workers = 4;

/** Plays one seed; returns what was broken. */
const play = (seed: number, faults: Faults): readonly string[] => {
    const world = new SimulatedCell(seed, faults, workers);
    for (let step = 0; step < stepsUnderFaults; step++) {
        if (step % 10 === 0 && world.jobs.size < mostJobs) {
            world.submit();
        }
        world.step(true);
    }
    for (let step = 0; step < stepsToFinish && !world.isFinished; step++) {
        world.step(false);
    }
    return world.isFinished ? world.violations : [...world.violations, "not every job reached its end"];
};

const kinds: Readonly<Record<string, Faults>> = {
    "no faults": noFaults,
    "failing tasks": { ...noFaults, fail: 0.2 },
    "lost and late starts": { ...noFaults, start: 0.2 },
    "crashes": { ...noFaults, crash: 0.005 },
    "cut workers": { ...noFaults, cut: 0.01 },
    "owners that die": { ...noFaults, takeOver: 0.03 },
    "cancelled jobs": { ...noFaults, cancel: 0.03 },
    "rooms that shrink and grow": { ...noFaults, resize: 0.02, cut: 0.002, takeOver: 0.01 },
    "advice": { ...noFaults, advice: 0 },
    "questions that are lost": { ...noFaults, advice: 0.3 },
    "all at once, advised": {
        crash: 0.002,
        cut: 0.005,
        takeOver: 0.01,
        cancel: 0.01,
        start: 0.1,
        fail: 0.1,
        advice: 0.1,
    },
    "limits that fall and rise": { ...noFaults, limits: 0.02 },
    "limits, and all else at once": {
        crash: 0.002,
        cut: 0.005,
        takeOver: 0.01,
        cancel: 0.01,
        start: 0.1,
        fail: 0.1,
        advice: 0.1,
        limits: 0.02,
    },
    "all at once": { ...noFaults, crash: 0.002, cut: 0.005, takeOver: 0.01, cancel: 0.01, start: 0.1, fail: 0.1 },
};

describe("a cell under random faults keeps what must hold, and every job reaches its end", () => {
    for (const [name, faults] of Object.entries(kinds)) {
        it(name, () => {
            for (let seed = 1; seed <= seeds; seed++) {
                expect({ seed, broken: play(seed, faults) }).toEqual({ seed, broken: [] });
            }
        });
    }
});
