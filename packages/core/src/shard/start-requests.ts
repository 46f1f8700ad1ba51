/** Requests to workers to start attempts. */
import { type Attempt, jobOfTask, type TaskId } from "../ids/index.js";
import { WorkloadClass } from "../jobs/index.js";
import { type RunningTask, type StartMessage, WorkerRefusal } from "../worker/index.js";
import type { JobLifecycle } from "./job-lifecycle.js";
import { isEnding } from "./job-view.js";
import type { ShardContext } from "./shard-context.js";
import { emptyTransition } from "./transition-builder.js";
import { TaskPhase, type Transition } from "./types.js";
import type { WorkerController } from "./worker-controller.js";

/** Builds the messages that start attempts, and applies the workers' answers. */
export class StartRequests {
    constructor(
        private readonly context: ShardContext,
        private readonly jobs: JobLifecycle,
        private readonly workerController: WorkerController,
    ) {}

    /**
     * Returns the message that starts an attempt, or undefined when it must no longer be sent.
     * `mayHaveArrived`: a copy was sent before and not answered.
     */
    buildMessage(id: TaskId, attempt: Attempt, mayHaveArrived: boolean): StartMessage | undefined {
        const task = this.context.registry.findTask(id);
        const job = this.context.registry.jobs.get(jobOfTask(id));
        if (job === undefined || task?.attempt !== attempt || task.phase !== TaskPhase.Starting || !task.assignment) {
            return undefined;
        }
        const entry = this.context.workers.get(task.assignment.worker);
        if (
            entry === undefined || entry.incarnation !== task.assignment.incarnation || !this.context.mayGrantLeases()
        ) {
            return undefined;
        }
        if (isEnding(job) && !mayHaveArrived) {
            return undefined;
        }
        const settings = this.context.options.settings();
        this.context.recordLeaseGrant(entry);
        return {
            shard: this.context.options.shard,
            epoch: this.context.options.epoch,
            task: id,
            attempt,
            number: entry.reportNumber,
            latestStart: settings.startWithin,
            lease: this.context.leasePolicy.currentTerms(settings).leaseDuration,
            grant: task.assignment.grant,
            payload: job.submission.payload,
            checkpoint: task.checkpoint,
            serves: job.submission.class === WorkloadClass.Service,
        };
    }

    /** Applies a worker's acceptance of a start. */
    accepted(id: TaskId, attempt: Attempt, running: RunningTask): Transition {
        const task = this.context.registry.findTask(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting) {
            return emptyTransition;
        }
        const builder = this.context.beginTransition();
        this.workerController.markRunning(task, running);
        builder.jobChanged(jobOfTask(id));
        this.jobs.stopIfUnwanted(task, builder);
        return builder.build();
    }

    /** Applies a worker's refusal, or without `refusal` that the start was never sent: the attempt did not run. */
    refused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Transition {
        const task = this.context.registry.findTask(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting || task.assignment === undefined) {
            return emptyTransition;
        }
        const builder = this.context.beginTransition();
        const entry = this.context.workers.get(task.assignment.worker);
        if (entry !== undefined && refusal === WorkerRefusal.Leaving) {
            entry.reportedLeaving = true;
            this.context.updateSchedulable(entry);
        }
        this.jobs.recordNotStarted(
            task,
            refusal === undefined ? "never sent" : `the worker refused: ${refusal}`,
            builder,
        );
        return builder.build();
    }
}
