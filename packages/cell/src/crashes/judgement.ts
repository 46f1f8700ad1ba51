/**
 * Judges whether a task crashes its workers.
 *
 * A plain count of lost runs would convict innocent tasks, which are lost together with faulty ones or with workers that fail for other
 * reasons. Therefore a crash at the start of a run weighs more than a later one or one that may have had another cause, suspected tasks
 * run in trials, in the end apart from those of other jobs, and a run that outlives all lost ones clears its task.
 */
import type { Milliseconds, RunNumber } from "@pebbledale/core";
import type { FormerIncarnation, Strike, Task, TaskRun, WorkerState } from "../state/index.js";
import {
    assumedRunTime,
    atFaultWeight,
    isolationWeight,
    laterCrashWeight,
    outliveMargin,
    sharedLossWeight,
    startCrashWeight,
    startWindow,
    suspectWeight,
} from "./constants.js";
import { Judgement, type Loss, LossCause } from "./types.js";

/** Judges a task by its strikes. Unproved strikes can make it suspect but cannot convict it. */
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

/** Whether a suspected task has to be tried apart from suspects of other jobs: a crash says something against it alone, or there were several. */
export const needsIsolation = ({ address, step }: Task): boolean => {
    const strikes = step.job.strikes.of(address);
    return strikes.some(strike => strike.isAmbiguous !== true) || weightOf(strikes) > isolationWeight;
};

/** Strike against a run's task when its worker is lost; undefined when the loss cannot be the task's fault. */
export const strikeOf = (run: TaskRun, { cause, isShared, isAmbiguous }: Loss): Strike | undefined => {
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
        ...(isAmbiguous ? { isAmbiguous } : {}),
    };
};

/**
 * Time for which a run is known to have run: from its confirmation to the worker's last answer. Undefined when the worker did not
 * confirm it, or when an earlier owner ordered it and may have seen it run on past its start.
 */
export const observedRunTime = (run: TaskRun): Milliseconds | undefined => {
    if (run.formerIncarnation !== undefined) {
        return run.formerIncarnation.observedRunTime;
    }
    if (run.isAdopted) {
        return isSeenPastStart(run) ? undefined : adoptedRunTime(run.task, run.run);
    }
    return run.confirmedAt === undefined ? undefined : Math.round(timeObserved(run));
};

/**
 * Time for which an earlier owner's run is known to have run: 0 for a task with strikes whose run no owner has recorded as past its
 * start, undefined otherwise.
 */
export const adoptedRunTime = (task: Task, run: RunNumber): Milliseconds | undefined => {
    const wasSuspect = task.step.job.strikes.of(task.address).some(strike =>
        strike.task === task.address && strike.run < run
    );
    return wasSuspect && task.openRuns.get(run)?.isPastStart !== true ? 0 : undefined;
};

/** Facts about a run under its worker's current incarnation, to be kept when another incarnation succeeds it. */
export const formerIncarnationOf = (run: TaskRun): FormerIncarnation => ({
    incarnation: run.worker.incarnation,
    observedRunTime: observedRunTime(run),
    wasLeaving: isLeaving(run.worker),
});

/** Whether a run is past its start window, so that a crash from now on says little against its task. */
export const isPastStart = (run: TaskRun): boolean => {
    if (run.formerIncarnation !== undefined) {
        return (run.formerIncarnation.observedRunTime ?? 0) >= startWindow;
    }
    if (run.confirmedAt === undefined) {
        return false;
    }
    return isSeenPastStart(run) || run.isAdopted && adoptedRunTime(run.task, run.run) === undefined;
};

/** Whether this owner has seen a run to run on past its start. */
export const isSeenPastStart = (run: TaskRun): boolean => timeObserved(run) >= startWindow;

/** Whether a run has run clearly longer than each lost run among the strikes. */
export const outlives = (run: TaskRun, strikes: readonly Strike[]): boolean => {
    const longest = Math.max(0, ...strikes.map(strike => strike.stood ?? assumedRunTime));
    return timeObserved(run) > longest + outliveMargin;
};

/** Time from the confirmation of a run to this owner until the worker's last answer. */
const timeObserved = ({ worker, confirmedAt }: TaskRun): Milliseconds =>
    Math.max(0, (worker.lastHeardAt ?? -Infinity) - (confirmedAt ?? Infinity));

/** Whether a worker's end is not a crash: it announced that it leaves, or it answered after its entry was removed. */
const isLeaving = ({ entry, unlistedSince, lastHeardAt }: WorkerState): boolean =>
    entry?.isDraining === true
    || unlistedSince !== undefined && lastHeardAt !== undefined && lastHeardAt > unlistedSince;

const isAtStart = ({ stood }: Strike): boolean => stood !== undefined && stood < startWindow;

const weightOf = (strikes: readonly Strike[]): number => strikes.reduce((sum, strike) => sum + weightOfOne(strike), 0);

const weightOfOne = (strike: Strike): number => {
    if (strike.isShared) {
        return sharedLossWeight;
    }
    return isAtStart(strike) && strike.isAmbiguous !== true ? startCrashWeight : laterCrashWeight;
};
