/** Requests to workers to start attempts. */
import { type Attempt, jobOfTask, type TaskId } from "../ids/index.js";
import { WorkloadClass } from "../jobs/index.js";
import { type RunningTask, type StartMessage, WorkerRefusal } from "../worker/index.js";
import type { JobLifecycle } from "./job-lifecycle.js";
import { isEnding } from "./job-view.js";
import type { ShardContext } from "./shard-context.js";
import { emptyStep } from "./step-builder.js";
import { type Step, TaskPhase } from "./types.js";
import type { WorkerReports } from "./worker-reports.js";

/** Builds the messages that start attempts, and applies the workers' answers. */
export class StartOrders {
    constructor(
        private readonly context: ShardContext,
        private readonly jobs: JobLifecycle,
        private readonly reports: WorkerReports,
    ) {}

    /**
     * Returns the message that starts an attempt, or undefined when it must no longer be sent.
     * `mayHaveArrived`: a copy was sent before and not answered.
     */
    message(id: TaskId, attempt: Attempt, mayHaveArrived: boolean): StartMessage | undefined {
        const task = this.context.book.task(id);
        const job = this.context.book.jobs.get(jobOfTask(id));
        if (job === undefined || task?.attempt !== attempt || task.phase !== TaskPhase.Starting || !task.assignment) {
            return undefined;
        }
        const entry = this.context.workers.get(task.assignment.worker);
        if (entry === undefined || entry.incarnation !== task.assignment.incarnation || !this.context.mayRenew()) {
            return undefined;
        }
        if (isEnding(job) && !mayHaveArrived) {
            return undefined;
        }
        const settings = this.context.options.settings();
        this.context.noteLeases(entry);
        return {
            shard: this.context.options.shard,
            epoch: this.context.options.epoch,
            task: id,
            attempt,
            number: entry.number,
            latestStart: settings.startWithin,
            lease: this.context.terms.inForce(settings).leaseDuration,
            grant: task.assignment.grant,
            payload: job.submission.payload,
            checkpoint: task.checkpoint,
            serves: job.submission.class === WorkloadClass.Service,
        };
    }

    /** Applies a worker's acceptance of a start. */
    accepted(id: TaskId, attempt: Attempt, running: RunningTask): Step {
        const task = this.context.book.task(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting) {
            return emptyStep;
        }
        const builder = this.context.builder();
        this.reports.confirm(task, running);
        builder.changed(jobOfTask(id));
        this.jobs.stopIfUnwanted(task, builder);
        return builder.step();
    }

    /** Applies a worker's refusal, or without `refusal` that the start was never sent: the attempt did not run. */
    refused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Step {
        const task = this.context.book.task(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting || task.assignment === undefined) {
            return emptyStep;
        }
        const builder = this.context.builder();
        const entry = this.context.workers.get(task.assignment.worker);
        if (entry !== undefined && refusal === WorkerRefusal.Leaving) {
            entry.saidLeaving = true;
            this.context.refresh(entry);
        }
        this.jobs.notStarted(task, refusal === undefined ? "never sent" : `the worker refused: ${refusal}`, builder);
        return builder.step();
    }
}
