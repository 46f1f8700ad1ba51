/** Moves runs away from workers that are slow, silent or about to leave, where that loses little. */
import type { Milliseconds } from "@pebbledale/core";
import { expectedEnd, isEligible } from "../choosing/index.js";
import type { CrashMonitor } from "../crashes/index.js";
import type { RunLifecycle } from "../runs/index.js";
import { type CellContext, RunPhase, type Step, type Task, type TaskRun, type WorkerState } from "../state/index.js";
import type { ProgressMonitor } from "../watching/index.js";
import { minLatenessToStop, minPercentLeftToMove } from "./constants.js";

/** Progress of a task that lasts once it is at work, in percent (the users' rules). */
const servingPercent = 100;

/** See the module's comment. */
export class RunMigrator {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly progress: ProgressMonitor,
        private readonly crashes: CrashMonitor,
    ) {}

    /** Looks at all workers for runs that are better off elsewhere. */
    tick(): void {
        const now = this.context.now();
        for (const worker of this.context.workers.values()) {
            if (worker.slowUntil > now && worker.silentSince === undefined) {
                this.#migrateFromSlow(worker, now);
            }
            if (worker.isClosedForUpkeep) {
                this.#drainClosed(worker, now);
            }
            if (worker.leavesAt !== undefined && worker.entry?.isDraining === true) {
                this.#migrateFromLeaving(worker, worker.leavesAt, now);
            }
        }
    }

    /** Tasks of a step that may have a copy and whose only run is hindered. */
    tasksToCopy(step: Step, now: Milliseconds): Task[] {
        if (!step.definition.allowsCopies) {
            return [];
        }
        return step.tasks.filter(({ runs }) =>
            runs.length === 1 && runs[0].stopReason === undefined && this.progress.isDegraded(runs[0].worker, now)
            && this.crashes.allowsCopy(runs[0])
        );
    }

    #migrateFromSlow(worker: WorkerState, now: Milliseconds): void {
        for (const run of worker.runs.values()) {
            const { definition } = run.task.step;
            const isCheap = definition.savesProgress && !definition.isGang && !definition.isLasting;
            if (
                isCheap && isMovable(run) && run.percent < 100 - minPercentLeftToMove && this.#fitsElsewhere(run, now)
            ) {
                this.runs.stop(run, "its worker is slow");
            }
        }
    }

    /** A worker whose VM is about to have its upkeep: what loses nothing goes elsewhere, the rest ends by itself. */
    #drainClosed(worker: WorkerState, now: Milliseconds): void {
        for (const run of worker.runs.values()) {
            const { step } = run.task;
            const { savesProgress, isGang, isLasting } = step.definition;
            const isCheap = isLasting ? allowsDisruption(step) : savesProgress && !isGang;
            if (isCheap && isMovable(run) && this.#fitsElsewhere(run, now)) {
                this.runs.stop(run, "its VM is about to have its upkeep");
            }
        }
    }

    /**
     * What will not end before its worker leaves is stopped in time, if its progress is saved or it lasts. A gang goes with
     * any one of its workers: its members elsewhere hold their room for nothing, and it starts again the sooner.
     */
    #migrateFromLeaving(worker: WorkerState, leavesAt: Milliseconds, now: Milliseconds): void {
        for (const run of worker.runs.values()) {
            const { definition } = run.task.step;
            const lateBy = expectedEnd(run, now) - leavesAt;
            const isCheap = definition.savesProgress || definition.isLasting;
            const isLostGang = definition.isGang && lateBy > minLatenessToStop
                && run.percent < 100 - minPercentLeftToMove;
            if (isMovable(run) && (isLostGang || isCheap && lateBy > 0 && this.#fitsElsewhere(run, now))) {
                this.runs.stop(run, "its worker is about to leave");
            }
        }
    }

    /** Whether another worker could take the task now. */
    #fitsElsewhere(run: TaskRun, now: Milliseconds): boolean {
        const { step } = run.task;
        const { terms } = step.job;
        for (const worker of this.context.workers.values()) {
            const isPermitted = step.permits === undefined || step.permits.isPermitted(worker.id);
            const isOther = worker !== run.worker && isEligible(worker, step, terms.service, now);
            if (isOther && isPermitted && worker.countFitting(step, 1) > 0) {
                return true;
            }
        }
        return false;
    }
}

const isMovable = (run: TaskRun): boolean => run.phase === RunPhase.Running && run.stopReason === undefined;

/** Whether one more task of a step that lasts may be away through our doing. */
export const allowsDisruption = ({ definition, tasks }: Step): boolean => {
    const { mayBeAway } = definition;
    return mayBeAway === undefined || tasks.filter(task => !isServing(task)).length < mayBeAway;
};

/** Whether a task that lasts is at work: its progress is complete once it serves. */
const isServing = (task: Task): boolean =>
    task.runs.some(run => run.phase === RunPhase.Running && run.percent >= servingPercent);
