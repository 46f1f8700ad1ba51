/** Keeps work away from workers that fail what succeeds elsewhere. */
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

/** Added to the cost of a worker whose last outcomes hold a failure that is not its job's own. */
const suspectCost = 20;
/** Added for a step with failed runs: another failure may be the last that its job can have. */
const failedBeforeCost = 500;

/** See the module's comment. */
export class HealthMonitor {
    readonly #health = new WorkerHealth(workerHealthLimits);

    constructor(private readonly context: CellContext) {}

    /** Takes in how a run ended. */
    noteEnd({ task, worker }: TaskRun, end: RunEnd): void {
        const { job: { id }, definition } = task.step;
        if (definition.isLasting) {
            // Tasks that last may fail at any time; that says nothing of their worker.
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

    /** Lets workers that nothing was tried on take more. */
    tick(): void {
        const now = this.context.now();
        for (const worker of this.context.workers.values()) {
            const isUntried = worker.runs.size === 0 && now > worker.quarantinedUntil + idleProbationTime;
            if (worker.isOnProbation && isUntried) {
                worker.isOnProbation = false;
                this.context.options.log.log(logEvents.workerTrusted, { worker: worker.id });
            }
        }
    }

    /** What is added to the cost of a worker for a step; 0 when nothing speaks against it. */
    costOf(worker: WorkerState, step: Step): number {
        const isSuspect = this.#health.isSuspect(worker.id);
        const hasFailed = step.failedRuns > 0;
        if (hasFailed && (isSuspect || this.#health.failedWorkersOf(step.job.id).has(worker.id))) {
            return failedBeforeCost;
        }
        return isSuspect ? suspectCost : 0;
    }

    /** Drops what is known of a job that is over. */
    forgetJob(job: Job): void {
        this.#health.forgetJob(job.id);
    }

    /** Drops what is known of a worker that is gone. */
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
