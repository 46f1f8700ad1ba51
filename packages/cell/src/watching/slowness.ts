/**
 * Tells from paces of its runs whether a worker is slow.
 *
 * Sound workers differ in speed, tasks of one step in their work, and estimates may be off tenfold. So a worker is slow only if its runs
 * are behind those of the same steps on other workers, or behind what they did themselves on it before, by more than sound workers
 * differ, and with enough certainty.
 */
import {
    medianDeviationFactor,
    minChangeSamples,
    minJobs,
    minPeerSamples,
    runVariance,
    slowDeviations,
    slowestSoundPace,
    slowestSteadyPace,
    steadyVariance,
} from "./constants.js";
import { medianOf } from "./middle.js";
import type { ExpectedPace } from "./step-paces.js";

/** Samples of one step's runs at a worker. */
export interface StepSamples {
    readonly job: string;
    readonly paces: readonly number[];
    /** Of runs that were sampled before: how their pace has changed, as a natural logarithm. */
    readonly changes: readonly number[];
    readonly roundingVariance: number;
    readonly expected: ExpectedPace;
}

/** What some runs tell of their worker. */
export interface SpeedFinding {
    /** Compared with what: runs of the same steps elsewhere, or the same runs before. */
    readonly baseline: "peers" | "past";
    /** The worker's speed as a multiple of theirs. */
    readonly speed: number;
    /** How many standard deviations it is below the slowest sound one; negative when above. */
    readonly deviations: number;
    readonly samples: number;
}

/** The finding that speaks most for a slow worker; undefined when there are too few samples. */
export const assessSpeed = (steps: readonly StepSamples[]): SpeedFinding | undefined => {
    const findings = [compareWithPeers(steps), compareWithPast(steps)].filter(finding => finding !== undefined);
    return findings.sort((left, right) => right.deviations - left.deviations).at(0);
};

/** Whether a finding says that its worker is slow. */
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
    return findingOf("peers", differences, slowestSoundPace, samples);
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
    return findingOf("past", differences, slowestSteadyPace, samples);
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

/** The least value that more than half of the weight is not above. */
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
