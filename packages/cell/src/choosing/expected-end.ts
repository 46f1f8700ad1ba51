/** When runs are expected to end. */
import type { Milliseconds } from "@pebbledale/core";
import { RunPhase, type TaskRun } from "../state/index.js";

/** Estimates of callers are taken for this much longer where others would have to wait: they are rough. */
export const backfillMargin = 1.25;
/** From this much progress under this owner on, in percent, a run's own speed says more than its caller's estimate. */
const minObservedProgress = 8;
/** A run that has taken longer than expected, or was told to stop, is expected to end within this time, in milliseconds. */
const imminentEndDelay: Milliseconds = 150;

/** When a run will end, by its progress so far, or by its caller's estimate; never, if it lasts. */
export const expectedEnd = (run: TaskRun, now: Milliseconds): Milliseconds => {
    const { definition } = run.task.step;
    if (run.phase === RunPhase.Stopping) {
        return now + imminentEndDelay;
    }
    if (definition.isLasting) {
        return Infinity;
    }
    const { firstProgress: firstSeen, percent, progressedAt } = run;
    const left = 100 - percent;
    const gained = firstSeen === undefined ? 0 : percent - firstSeen.percent;
    if (firstSeen === undefined || gained < minObservedProgress) {
        return Math.max(now + imminentEndDelay, progressedAt + definition.estimate * run.worker.slowness * left / 100);
    }
    // Progress was seen some time ago; it goes on at the speed it had until then. What it had done when it was first
    // seen, after a restore or under an earlier owner, says nothing of its speed.
    return Math.max(now + imminentEndDelay, progressedAt + left * (progressedAt - firstSeen.at) / gained);
};
