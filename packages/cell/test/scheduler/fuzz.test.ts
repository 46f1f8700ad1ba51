import { expect } from "earl";
import { describe, it } from "node:test";
import { type Faults, noFaults, SimulatedCell } from "../support/index.js";

const seeds = 40;
const stepsUnderFaults = 400;
/** Steps of 50 ms after the faults within which every job must end. */
const stepsToFinish = 2_000;
const maxJobs = 30;
const workers = 4;

/** Runs one seed under faults and then until all jobs have ended, and returns the violations. */
const runSeed = (seed: number, faults: Faults): readonly string[] => {
    const cell = new SimulatedCell(seed, faults, workers);
    for (let step = 0; step < stepsUnderFaults; step++) {
        if (step % 10 === 0 && cell.jobs.size < maxJobs) {
            cell.submit();
        }
        cell.step(true);
    }
    for (let step = 0; step < stepsToFinish && !cell.isFinished; step++) {
        cell.step(false);
    }
    return cell.isFinished ? cell.violations : [...cell.violations, "not every job has ended"];
};

const kinds: Readonly<Record<string, Faults>> = {
    "no faults": noFaults,
    "failing tasks": { ...noFaults, fail: 0.2 },
    "lost and late starts": { ...noFaults, start: 0.2 },
    "crashes": { ...noFaults, crash: 0.005 },
    "unreachable workers": { ...noFaults, disconnect: 0.01 },
    "owners that fail": { ...noFaults, takeOver: 0.03 },
    "cancelled jobs": { ...noFaults, cancel: 0.03 },
    "capacities that shrink and grow": { ...noFaults, resize: 0.02, disconnect: 0.002, takeOver: 0.01 },
    "advice": { ...noFaults, advice: 0 },
    "lost questions to the advice service": { ...noFaults, advice: 0.3 },
    "all faults at once, with advice": {
        crash: 0.002,
        disconnect: 0.005,
        takeOver: 0.01,
        cancel: 0.01,
        start: 0.1,
        fail: 0.1,
        advice: 0.1,
    },
    "limits that are lowered and raised": { ...noFaults, limits: 0.02 },
    "all faults at once, with advice and changing limits": {
        crash: 0.002,
        disconnect: 0.005,
        takeOver: 0.01,
        cancel: 0.01,
        start: 0.1,
        fail: 0.1,
        advice: 0.1,
        limits: 0.02,
    },
    "all faults at once": {
        ...noFaults,
        crash: 0.002,
        disconnect: 0.005,
        takeOver: 0.01,
        cancel: 0.01,
        start: 0.1,
        fail: 0.1,
    },
};

describe("a cell under random faults keeps its invariants, and every job ends", () => {
    for (const [name, faults] of Object.entries(kinds)) {
        it(name, () => {
            for (let seed = 1; seed <= seeds; seed++) {
                expect({ seed, broken: runSeed(seed, faults) }).toEqual({ seed, broken: [] });
            }
        });
    }
});
