/** Estimates when runs will end. */
import type { Milliseconds } from "@pebbledale/core";
import { RunPhase, type TaskRun } from "../state/index.js";

/** Factor applied to callers' estimates when deciding whether a task ends before a reservation: estimates are rough. */
export const backfillMargin = 1.25;
/** Progress in percent, observed by this owner, from which a run's own speed is used instead of its caller's estimate. */
const minObservedProgress = 8;
/** A run that is overdue or stopping is expected to end within this time, in milliseconds. */
const imminentEndDelay: Milliseconds = 150;

/** Extrapolates from the run's progress, or else from its caller's estimate. `Infinity` for long-running tasks. */
export const expectedEnd = (run: TaskRun, now: Milliseconds): Milliseconds => {
    const { definition } = run.task.step;
    if (run.phase === RunPhase.Stopping) {
        return now + imminentEndDelay;
    }
    if (definition.isLasting) {
        return Infinity;
    }
    const { firstProgress, percent, progressedAt } = run;
    const left = 100 - percent;
    const gained = firstProgress === undefined ? 0 : percent - firstProgress.percent;
    if (firstProgress === undefined || gained < minObservedProgress) {
        return Math.max(now + imminentEndDelay, progressedAt + definition.estimate * run.worker.slowness * left / 100);
    }
    // Progress made before the run was first seen, restored or reported under an earlier owner, is left out of its speed.
    return Math.max(now + imminentEndDelay, progressedAt + left * (progressedAt - firstProgress.at) / gained);
};
