/**
 * Finds workers on which tasks stand still or are slow, by comparing their progress with the callers' estimates.
 *
 * One estimate may be far off; the middle one of several runs is not. A worker that is slow takes nothing new while it
 * is, and what runs there is moved where that loses nothing: tasks that save their progress are stopped and go on
 * elsewhere, tasks that may have copies get one.
 */
import { logEvents, type Milliseconds } from "@pebbledale/core";
import { type CellContext, RunPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { WorkerRun } from "../task-worker/index.js";
import { fewestSpeedSamples, progressInterval, slowFor, slowShare, slowSpeed, startingTime } from "./constants.js";

const middleOf = (values: readonly number[]): number =>
    [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)];

/** See the module's comment. */
export class ProgressWatch {
    constructor(private readonly context: CellContext) {}

    /** Takes in how far the runs of a worker are. */
    note(worker: WorkerState, seen: readonly (readonly [TaskRun, WorkerRun])[]): void {
        const now = this.context.now();
        const samples: number[] = [];
        for (const [run, { percent }] of seen) {
            const elapsed = now - run.sampledAt;
            if (elapsed < progressInterval) {
                continue;
            }
            const speed = this.#speedOf(run, percent, elapsed, now);
            if (speed !== undefined) {
                samples.push(speed);
            }
            run.sampledAt = now;
            run.sampledPercent = percent;
        }
        if (samples.length >= fewestSpeedSamples) {
            this.#judge(worker, middleOf(samples), now);
        }
    }

    /** Whether runs of a worker are worth moving: it is slow, or it does not answer. */
    isHindered(worker: WorkerState, now: Milliseconds): boolean {
        return worker.slowUntil > now || worker.silentSince !== undefined;
    }

    /** Progress since the last sample as a multiple of what the estimate says. */
    #speedOf(run: TaskRun, percent: number, elapsed: Milliseconds, now: Milliseconds): number | undefined {
        const { estimate, isLasting } = run.task.step.definition;
        const isStarting = run.confirmedAt === undefined || run.sampledAt < run.confirmedAt + startingTime;
        const isEnding = percent >= 99;
        if (run.phase !== RunPhase.AtWork || isLasting || isStarting || isEnding || estimate <= 0 || now === 0) {
            return undefined;
        }
        return (percent - run.sampledPercent) / 100 * estimate / elapsed;
    }

    #judge(worker: WorkerState, speed: number, now: Milliseconds): void {
        const wasSlow = worker.slowUntil > now;
        if (speed >= slowSpeed) {
            worker.slowUntil = 0;
            if (wasSlow) {
                this.context.options.log.log(logEvents.workerFast, { worker: worker.id, speed });
            }
            return;
        }
        const all = [...this.context.workers.values()];
        const slow = all.filter(other => other !== worker && other.slowUntil > now).length;
        if (slow + 1 > all.length * slowShare) {
            // That many at once are no outliers: the estimates are off.
            return;
        }
        worker.slowUntil = now + slowFor;
        if (!wasSlow) {
            this.context.options.log.log(logEvents.workerSlow, { worker: worker.id, speed, runs: worker.runs.size });
        }
    }
}
