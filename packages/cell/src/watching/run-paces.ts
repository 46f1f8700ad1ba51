/**
 * How fast runs get on, in samples between two looks at their worker, by the worker's own clock: looks may reach the owner late, and two
 * at once.
 */
import type { Milliseconds } from "@pebbledale/core";
import { fullPace, type ProgressMark, RunPhase, type TaskRun } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import {
    farPace,
    fewestPercentPerSample,
    leastProgress,
    longestSample,
    progressInterval,
    restoringTime,
    startingTime,
} from "./constants.js";

/** One sample of a run. Paces are natural logarithms of multiples of what the caller's estimate says. */
export interface RunPace {
    readonly pace: number;
    /** The same from the run's begin to this sample; undefined where nothing is known of that time. */
    readonly formerPace: number | undefined;
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
    const isPlain = run.phase === RunPhase.AtWork && run.pace === fullPace && !isLasting && !fills && estimate > 0;
    if (!isPlain || percent >= 99 || run.confirmedAt === undefined || now < run.confirmedAt + settlingTimeOf(run)) {
        run.marks = undefined;
        return undefined;
    }
    if (run.marks === undefined) {
        const mark = { percent, at: clock };
        run.marks = { origin: beginOf(run, clock, now) ?? mark, last: mark };
        return undefined;
    }
    const { origin, last } = run.marks;
    const elapsed = clock - last.at;
    const pacePerPercent = estimate / 100;
    const formerPercents = last.percent - origin.percent;
    const former = formerPercents / Math.max(1, last.at - origin.at);
    // By its former pace, or by the estimate where there is none.
    const expected = Math.max(elapsed * former, elapsed / estimate * 100);
    if (elapsed < progressInterval || expected < fewestPercentPerSample && elapsed < longestSample) {
        return undefined;
    }
    run.marks = { origin, last: { percent, at: clock } };
    const gained = Math.max(leastProgress, percent - last.percent);
    const farness = isFar(run) ? farPace : 0;
    return {
        pace: Math.log(gained / elapsed * pacePerPercent) + farness,
        formerPace: formerPercents < fewestPercentPerSample ? undefined : Math.log(former * pacePerPercent) + farness,
        roundingVariance: (leastProgress / Math.max(1, expected)) ** 2,
    };
};

/** The pace of a run that has ended well, over all its time; undefined where its begin is not known. */
export const paceOfDone = (run: TaskRun, now: Milliseconds): number | undefined => {
    const { estimate, isLasting, fills, isGang } = run.task.step.definition;
    const took = now - (run.confirmedAt ?? now);
    if (isLasting || fills || isGang || estimate <= 0 || took < startingTime || !isFresh(run)) {
        return undefined;
    }
    return Math.log(estimate / took) + (isFar(run) ? farPace : 0);
};

/** Where a run began, by its worker's clock: only of runs whose progress began with the order's confirmation. */
const beginOf = (run: TaskRun, clock: Milliseconds, now: Milliseconds): ProgressMark | undefined =>
    isFresh(run) && !run.task.step.definition.isGang
        ? { percent: 0, at: clock - (now - (run.confirmedAt ?? now)) }
        : undefined;

/** Whether a run began with nothing done, under this owner. */
const isFresh = (run: TaskRun): boolean => !run.isAdopted && !mayBeRestored(run);

const mayBeRestored = ({ run, task }: TaskRun): boolean => run > 1 && task.step.definition.savesProgress;

const settlingTimeOf = (run: TaskRun): Milliseconds => mayBeRestored(run) ? restoringTime : startingTime;

const isFar = ({ task, worker }: TaskRun): boolean => {
    const { dataRack } = task.step.definition;
    return dataRack !== undefined && !worker.labels.includes(dataRack);
};
