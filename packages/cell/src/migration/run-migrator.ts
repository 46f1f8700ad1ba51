/** Migration of runs to other workers. */
import type { Milliseconds } from "@pebbledale/core";
import type { CrashMonitor } from "../crashes/index.js";
import type { ProgressMonitor } from "../monitoring/index.js";
import type { RunLifecycle } from "../runs/index.js";
import { expectedEnd, isEligible } from "../selection/index.js";
import { type CellContext, RunPhase, type Step, type Task, type TaskRun, type WorkerState } from "../state/index.js";
import { minLatenessToStop, minPercentLeftToMove } from "./constants.js";

/** Progress, in percent, that a long-running task reports once it serves. */
const servingPercent = 100;

/**
 * Stops runs on workers that are slow, about to begin their upkeep or about to leave, where little work is lost and another worker
 * fits them. Stopped tasks are placed again by the next cycle.
 */
export class RunMigrator {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly progress: ProgressMonitor,
        private readonly crashes: CrashMonitor,
    ) {}

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

    /** Tasks of a step that may have a copy and whose only run is on a degraded worker. */
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

    /** Before the upkeep of a VM: migrates the runs that lose nothing. The others end by themselves. */
    #drainClosed(worker: WorkerState, now: Milliseconds): void {
        for (const run of worker.runs.values()) {
            const { step } = run.task;
            const { savesProgress, isGang, isLasting } = step.definition;
            const isCheap = isLasting ? allowsDisruption(step) : savesProgress && !isGang;
            if (isCheap && isMovable(run) && this.#fitsElsewhere(run, now)) {
                this.runs.stop(run, "its VM is about to begin its upkeep");
            }
        }
    }

    /**
     * Stops runs that will not end before their worker leaves, if their progress is saved or they are long-running. A gang would be lost
     * with any one of its workers, so it is stopped early to restart sooner.
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

    /** Whether another worker could take the run's task now. */
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

/** Whether the disruption budget of a long-running step allows one more of its tasks to be stopped by the scheduler. */
export const allowsDisruption = ({ definition, tasks }: Step): boolean => {
    const { mayBeAway } = definition;
    return mayBeAway === undefined || tasks.filter(task => !isServing(task)).length < mayBeAway;
};

const isServing = (task: Task): boolean =>
    task.runs.some(run => run.phase === RunPhase.Running && run.percent >= servingPercent);
