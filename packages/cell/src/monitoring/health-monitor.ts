/** Monitoring of workers by failed runs. */
import { logEvents, WorkerHealth } from "@pebbledale/core";
import type { CellContext, Job, Step, TaskRun, WorkerState } from "../state/index.js";
import { RunEnd } from "../task-worker/index.js";
import {
    idleProbationTime,
    initialQuarantine,
    maxQuarantineDoublings,
    maxQuarantinedShare,
    workerHealthLimits,
} from "./constants.js";

/** Cost added to a worker with a recent failure that is not attributed to the job. */
const suspectCost = 20;
/** Cost added instead for a step with failed runs, as another failure may fail its job. */
const failedBeforeCost = 500;

/**
 * Keeps work away from workers on which runs fail that succeed elsewhere: suspects cost more, and faulty workers are quarantined, then put
 * on probation.
 */
export class HealthMonitor {
    readonly #health = new WorkerHealth(workerHealthLimits);

    constructor(private readonly context: CellContext) {}

    /** Takes the outcome of a run. */
    noteEnd({ task, worker }: TaskRun, end: RunEnd): void {
        const { job: { id }, definition } = task.step;
        if (definition.isLasting) {
            // A failure of a long-running task is no evidence against its worker.
            return;
        }
        if (end === RunEnd.Done) {
            worker.isOnProbation = false;
            this.#health.recordSuccess(worker.id, id);
        }
        else if (end === RunEnd.Failed && this.#health.recordFailure(worker.id, id)) {
            this.#quarantine(worker);
        }
    }

    /** Ends the probation of workers that had no run for a while. */
    tick(): void {
        const now = this.context.now();
        for (const worker of this.context.workers.values()) {
            const isUntried = worker.runs.size === 0 && now > worker.quarantinedUntil + idleProbationTime;
            if (worker.isOnProbation && isUntried) {
                worker.isOnProbation = false;
                this.context.options.log.log(logEvents.workerProbationEnded, { worker: worker.id });
            }
        }
    }

    /** Cost to add to a worker for a step; 0 when it is not suspect. */
    costOf(worker: WorkerState, step: Step): number {
        const isSuspect = this.#health.isSuspect(worker.id);
        const hasFailed = step.failedRuns > 0;
        if (hasFailed && (isSuspect || this.#health.failedWorkersOf(step.job.id).has(worker.id))) {
            return failedBeforeCost;
        }
        return isSuspect ? suspectCost : 0;
    }

    forgetJob(job: Job): void {
        this.#health.forgetJob(job.id);
    }

    forgetWorker(worker: WorkerState): void {
        this.#health.forgetWorker(worker.id);
    }

    #quarantine(worker: WorkerState): void {
        const now = this.context.now();
        const all = [...this.context.workers.values()];
        const quarantined = all.filter(other => other.quarantinedUntil > now).length;
        if (quarantined + 1 > all.length * maxQuarantinedShare) {
            return;
        }
        const count = this.#health.beginQuarantine(worker.id);
        const duration = initialQuarantine * 2 ** Math.min(count - 1, maxQuarantineDoublings);
        worker.quarantinedUntil = now + duration;
        worker.isOnProbation = true;
        this.context.options.log.log(logEvents.workerQuarantined, { worker: worker.id, count, duration });
    }
}
