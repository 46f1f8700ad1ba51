/**
 * How fast runs get on, in samples between two looks at their worker, by the worker's own clock: looks may reach the owner late, and two
 * at once.
 */
import type { Milliseconds } from "@pebbledale/core";
import { fullPace, type ProgressSample, RunPhase, type TaskRun } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import {
    maxSampleTime,
    minPercentPerSample,
    minProgress,
    progressInterval,
    remoteDataPace,
    restoringTime,
    startingTime,
} from "./constants.js";

/** One sample of a run. Paces are natural logarithms of multiples of what the caller's estimate says. */
export interface RunPace {
    readonly pace: number;
    /** The same from the run's begin to this sample; undefined where nothing is known of that time. */
    readonly earlierPace: number | undefined;
    /** Variance of the pace, as progress is told in whole percents. */
    readonly roundingVariance: number;
}

/** Samples a run that a look shows; undefined while it is too early, or when its progress tells nothing of its worker. */
export const sampleRun = (
    run: TaskRun,
    { percent }: WorkerRun,
    clock: Milliseconds,
    now: Milliseconds,
): RunPace | undefined => {
    const { estimate, isLasting, fills } = run.task.step.definition;
    const isPlain = run.phase === RunPhase.Running && run.pace === fullPace && !isLasting && !fills && estimate > 0;
    if (!isPlain || percent >= 99 || run.confirmedAt === undefined || now < run.confirmedAt + settlingTimeOf(run)) {
        run.progressSamples = undefined;
        return undefined;
    }
    if (run.progressSamples === undefined) {
        const mark = { percent, at: clock };
        run.progressSamples = { first: startOf(run, clock, now) ?? mark, latest: mark };
        return undefined;
    }
    const { first: origin, latest: last } = run.progressSamples;
    const elapsed = clock - last.at;
    const pacePerPercent = estimate / 100;
    const formerPercents = last.percent - origin.percent;
    const former = formerPercents / Math.max(1, last.at - origin.at);
    // By its former pace, or by the estimate where there is none.
    const expected = Math.max(elapsed * former, elapsed / estimate * 100);
    if (elapsed < progressInterval || expected < minPercentPerSample && elapsed < maxSampleTime) {
        return undefined;
    }
    run.progressSamples = { first: origin, latest: { percent, at: clock } };
    const gained = Math.max(minProgress, percent - last.percent);
    const farness = isRemoteFromData(run) ? remoteDataPace : 0;
    return {
        pace: Math.log(gained / elapsed * pacePerPercent) + farness,
        earlierPace: formerPercents < minPercentPerSample ? undefined : Math.log(former * pacePerPercent) + farness,
        roundingVariance: (minProgress / Math.max(1, expected)) ** 2,
    };
};

/** The pace of a run that has ended well, over all its time; undefined where its begin is not known. */
export const paceOfCompleted = (run: TaskRun, now: Milliseconds): number | undefined => {
    const { estimate, isLasting, fills, isGang } = run.task.step.definition;
    const took = now - (run.confirmedAt ?? now);
    if (isLasting || fills || isGang || estimate <= 0 || took < startingTime || !startedFresh(run)) {
        return undefined;
    }
    return Math.log(estimate / took) + (isRemoteFromData(run) ? remoteDataPace : 0);
};

/** Where a run began, by its worker's clock: only of runs whose progress began with the order's confirmation. */
const startOf = (run: TaskRun, clock: Milliseconds, now: Milliseconds): ProgressSample | undefined =>
    startedFresh(run) && !run.task.step.definition.isGang
        ? { percent: 0, at: clock - (now - (run.confirmedAt ?? now)) }
        : undefined;

/** Whether a run began with nothing done, under this owner. */
const startedFresh = (run: TaskRun): boolean => !run.isAdopted && !mayBeRestored(run);

const mayBeRestored = ({ run, task }: TaskRun): boolean => run > 1 && task.step.definition.savesProgress;

const settlingTimeOf = (run: TaskRun): Milliseconds => mayBeRestored(run) ? restoringTime : startingTime;

const isRemoteFromData = ({ task, worker }: TaskRun): boolean => {
    const { dataRack } = task.step.definition;
    return dataRack !== undefined && !worker.labels.includes(dataRack);
};
