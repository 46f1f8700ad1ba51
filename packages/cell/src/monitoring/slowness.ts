/**
 * Detection of slow workers from the paces of their runs.
 *
 * Healthy workers differ in speed, tasks of one step in their work, and estimates may be off tenfold. A worker therefore counts as slow
 * only if its runs are slower than their peers on other workers, or than their own past, by significantly more than healthy workers
 * differ.
 */
import {
    medianDeviationFactor,
    minChangeSamples,
    minJobs,
    minPeerSamples,
    runVariance,
    slowDeviations,
    slowestHealthyPace,
    slowestPaceChange,
    steadyVariance,
} from "./constants.js";
import { medianOf } from "./median.js";
import type { ExpectedPace } from "./step-paces.js";

/** Samples of one step's runs on a worker. */
export interface StepSamples {
    readonly job: string;
    readonly paces: readonly number[];
    /** Changes of the paces of runs that were sampled before, as natural logarithms. */
    readonly changes: readonly number[];
    readonly roundingVariance: number;
    readonly expected: ExpectedPace;
}

/** Result of a comparison of a worker's runs. */
export interface SpeedFinding {
    /** What the runs were compared with: runs of the same steps elsewhere, or their own past. */
    readonly baseline: "peers" | "past";
    /** The worker's speed relative to the baseline. */
    readonly speed: number;
    /** Standard deviations by which it is below the slowest healthy worker; negative when above. */
    readonly deviations: number;
    readonly samples: number;
}

/** The strongest evidence that a worker is slow; undefined when there are too few samples. */
export const assessSpeed = (steps: readonly StepSamples[]): SpeedFinding | undefined => {
    const findings = [compareWithPeers(steps), compareWithPast(steps)].filter(finding => finding !== undefined);
    return findings.sort((left, right) => right.deviations - left.deviations).at(0);
};

/** Whether a finding is significant. */
export const isSlow = ({ deviations }: SpeedFinding): boolean => deviations >= slowDeviations;

const compareWithPeers = (steps: readonly StepSamples[]): SpeedFinding | undefined => {
    const known = steps.filter(({ expected }) => expected.peers > 0);
    const samples = countOf(known.map(({ paces }) => paces));
    if (samples < minPeerSamples) {
        return undefined;
    }
    const differences = known.map(({ paces, expected, roundingVariance }) => ({
        value: medianOf(paces) - expected.pace,
        variance: expected.variance + (runVariance + roundingVariance) / paces.length,
    }));
    return findingOf("peers", differences, slowestHealthyPace, samples);
};

const compareWithPast = (steps: readonly StepSamples[]): SpeedFinding | undefined => {
    const known = steps.filter(({ changes }) => changes.length > 0);
    const samples = countOf(known.map(({ changes }) => changes));
    const jobs = new Set(known.map(({ job }) => job)).size;
    if (samples < minChangeSamples && jobs < minJobs) {
        return undefined;
    }
    const differences = known.map(({ changes, roundingVariance }) => ({
        value: medianOf(changes),
        variance: (steadyVariance + 2 * roundingVariance) / changes.length,
    }));
    return findingOf("past", differences, slowestPaceChange, samples);
};

interface Difference {
    readonly value: number;
    readonly variance: number;
}

const findingOf = (
    ground: SpeedFinding["baseline"],
    differences: readonly Difference[],
    bound: number,
    samples: number,
): SpeedFinding => {
    const value = weightedMedianOf(differences);
    const precision = differences.reduce((sum, { variance }) => sum + 1 / variance, 0);
    const deviation = (differences.length > 1 ? medianDeviationFactor : 1) / Math.sqrt(precision);
    return { baseline: ground, speed: Math.exp(value), deviations: (bound - value) / deviation, samples };
};

/** The median of the values weighted by their precision. */
const weightedMedianOf = (differences: readonly Difference[]): number => {
    const sorted = [...differences].sort((left, right) => left.value - right.value);
    let left = sorted.reduce((sum, { variance }) => sum + 1 / variance, 0) / 2;
    for (const { value, variance } of sorted) {
        left -= 1 / variance;
        if (left < 0) {
            return value;
        }
    }
    return sorted[sorted.length - 1].value;
};

const countOf = (samples: readonly (readonly number[])[]): number =>
    samples.reduce((sum, { length }) => sum + length, 0);
