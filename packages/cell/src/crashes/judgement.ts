/**
 * Judges whether a task crashes the workers that start it.
 *
 * The load that it answers: tasks under which each worker crashes, beside many that are innocent and are lost with them, while
 * workers also crash, or are cut off, for reasons of their own. A count of lost runs alone would give innocent work up: in a play with
 * some five such tasks one innocent task was on three workers that crashed, and three others were lost twice within 0.2 s of their start.
 * So a crash at the start of a run weighs more than a later one, a task that is struck is tried apart, which is a test
 * that its neighbours' faults cannot spoil, and a run that outlives all earlier ones clears it.
 */
import type { Milliseconds } from "@pebbledale/core";
import type { FormerIncarnation, Strike, TaskRun, WorkerState } from "../state/index.js";
import {
    assumedRunTime,
    atFaultWeight,
    laterCrashWeight,
    outliveMargin,
    sharedLossWeight,
    startCrashWeight,
    startWindow,
    suspectWeight,
} from "./constants.js";
import { Judgement, LossCause } from "./types.js";

/** Judges a task by what is held against it. */
export const judge = (strikes: readonly Strike[]): Judgement => {
    const proved = weightOf(strikes.filter(strike => strike.isProved));
    const all = weightOf(strikes);
    if (proved >= atFaultWeight) {
        return Judgement.AtFault;
    }
    if (all >= atFaultWeight) {
        return Judgement.Unclear;
    }
    return strikes.some(isAtStart) || all >= suspectWeight ? Judgement.Suspect : Judgement.Trusted;
};

/** What is held against a run's task when its worker is lost; undefined when nothing is. */
export const strikeOf = (run: TaskRun, cause: LossCause, isShared: boolean): Strike | undefined => {
    const { task, worker } = run;
    const wasSent = run.sentAt !== undefined || run.confirmedAt !== undefined;
    const { wasLeaving, incarnation: life } = run.formerIncarnation ?? formerIncarnationOf(run);
    if (!wasSent || wasLeaving || cause === LossCause.Alive) {
        return undefined;
    }
    return {
        task: task.address,
        run: run.run,
        worker: worker.id,
        ...(life === undefined ? {} : { life }),
        address: worker.address,
        stood: observedRunTime(run),
        isProved: cause === LossCause.Crashed,
        isShared: isShared && isPastStart(run),
    };
};

/**
 * How long a worker was heard after it had taken a run; undefined when it was not heard to take it, or when an earlier owner
 * ordered the run. What a run did after its worker was last heard is not known.
 */
export const observedRunTime = (run: TaskRun): Milliseconds | undefined => {
    if (run.formerIncarnation !== undefined) {
        return run.formerIncarnation.observedRunTime;
    }
    return run.isAdopted || run.confirmedAt === undefined ? undefined : Math.round(timeObserved(run));
};

/** What is known of a run at the life of its worker that is over. */
export const formerIncarnationOf = (run: TaskRun): FormerIncarnation => ({
    incarnation: run.worker.incarnation,
    observedRunTime: observedRunTime(run),
    wasLeaving: isLeaving(run.worker),
});

/** Whether a run is past its start, so that a crash from now on says little against its task. */
export const isPastStart = (run: TaskRun): boolean => {
    if (run.formerIncarnation !== undefined) {
        return (run.formerIncarnation.observedRunTime ?? 0) >= startWindow;
    }
    return run.confirmedAt !== undefined && (run.isAdopted || timeObserved(run) >= startWindow);
};

/** Whether a run has been at work for longer than any before that went with its worker. */
export const outlives = (run: TaskRun, strikes: readonly Strike[]): boolean => {
    const longest = Math.max(0, ...strikes.map(strike => strike.stood ?? assumedRunTime));
    return timeObserved(run) > longest + outliveMargin;
};

/** How long a worker was heard since this owner knows that it has a run. */
const timeObserved = ({ worker, confirmedAt }: TaskRun): Milliseconds =>
    Math.max(0, (worker.lastHeardAt ?? -Infinity) - (confirmedAt ?? Infinity));

/** Whether a worker's end is no crash: it said that it leaves, or answered after it was taken off the list. */
const isLeaving = ({ entry, unlistedSince, lastHeardAt: heardAt }: WorkerState): boolean =>
    entry?.isDraining === true || unlistedSince !== undefined && heardAt !== undefined && heardAt > unlistedSince;

const isAtStart = ({ stood }: Strike): boolean => stood !== undefined && stood < startWindow;

const weightOf = (strikes: readonly Strike[]): number => strikes.reduce((sum, strike) => sum + weightOfOne(strike), 0);

const weightOfOne = (strike: Strike): number => {
    if (strike.isShared) {
        return sharedLossWeight;
    }
    return isAtStart(strike) ? startCrashWeight : laterCrashWeight;
};
