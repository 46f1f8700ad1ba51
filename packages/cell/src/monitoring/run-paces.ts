/** Samples of runs' paces, by the worker's own clock, as reports may reach the owner late or in batches. */
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

/** One sample of a run. Paces are natural logarithms of the speed relative to the caller's estimate. */
export interface RunPace {
    readonly pace: number;
    /** The pace from the run's start to the previous sample; undefined where too little is known of that time. */
    readonly earlierPace: number | undefined;
    /** Variance of the pace due to progress being reported in whole percent. */
    readonly roundingVariance: number;
}

/** Samples a run's reported progress. Undefined while it is too early, or when the progress says nothing about the worker. */
export const sampleRun = (
    run: TaskRun,
    { percent }: WorkerRun,
    clock: Milliseconds,
    now: Milliseconds,
): RunPace | undefined => {
    const { estimate, isLasting, fills } = run.task.step.definition;
    const isMeasurable = run.phase === RunPhase.Running && run.pace === fullPace && !isLasting && !fills
        && estimate > 0;
    if (
        !isMeasurable || percent >= 99 || run.confirmedAt === undefined || now < run.confirmedAt + settlingTimeOf(run)
    ) {
        run.progressSamples = undefined;
        return undefined;
    }
    if (run.progressSamples === undefined) {
        const sample = { percent, at: clock };
        run.progressSamples = { first: startOf(run, clock, now) ?? sample, latest: sample };
        return undefined;
    }
    const { first, latest } = run.progressSamples;
    const elapsed = clock - latest.at;
    const pacePerPercent = estimate / 100;
    const earlierPercents = latest.percent - first.percent;
    const earlierSpeed = earlierPercents / Math.max(1, latest.at - first.at);
    // Expected progress in percent, by the faster of the earlier pace and the estimate.
    const expected = Math.max(elapsed * earlierSpeed, elapsed / estimate * 100);
    if (elapsed < progressInterval || expected < minPercentPerSample && elapsed < maxSampleTime) {
        return undefined;
    }
    run.progressSamples = { first, latest: { percent, at: clock } };
    const gained = Math.max(minProgress, percent - latest.percent);
    const remoteOffset = isRemoteFromData(run) ? remoteDataPace : 0;
    return {
        pace: Math.log(gained / elapsed * pacePerPercent) + remoteOffset,
        earlierPace: earlierPercents < minPercentPerSample
            ? undefined
            : Math.log(earlierSpeed * pacePerPercent) + remoteOffset,
        roundingVariance: (minProgress / Math.max(1, expected)) ** 2,
    };
};

/** The overall pace of a completed run; undefined where its start is not known or the pace is not comparable. */
export const paceOfCompleted = (run: TaskRun, now: Milliseconds): number | undefined => {
    const { estimate, isLasting, fills, isGang } = run.task.step.definition;
    const took = now - (run.confirmedAt ?? now);
    if (isLasting || fills || isGang || estimate <= 0 || took < startingTime || !startedFresh(run)) {
        return undefined;
    }
    return Math.log(estimate / took) + (isRemoteFromData(run) ? remoteDataPace : 0);
};

/** The start of a run by its worker's clock, for runs whose progress began at 0 when their order was confirmed. */
const startOf = (run: TaskRun, clock: Milliseconds, now: Milliseconds): ProgressSample | undefined =>
    startedFresh(run) && !run.task.step.definition.isGang
        ? { percent: 0, at: clock - (now - (run.confirmedAt ?? now)) }
        : undefined;

/** Whether a run started without restored progress under this owner. */
const startedFresh = (run: TaskRun): boolean => !run.isAdopted && !mayBeRestored(run);

const mayBeRestored = ({ run, task }: TaskRun): boolean => run > 1 && task.step.definition.savesProgress;

const settlingTimeOf = (run: TaskRun): Milliseconds => mayBeRestored(run) ? restoringTime : startingTime;

const isRemoteFromData = ({ task, worker }: TaskRun): boolean => {
    const { dataRack } = task.step.definition;
    return dataRack !== undefined && !worker.labels.includes(dataRack);
};
