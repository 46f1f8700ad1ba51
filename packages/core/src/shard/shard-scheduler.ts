/** Entry point of a shard's scheduling logic. */
import { type Attempt, type JobId, jobId, type TaskId, type WorkerId } from "../ids/index.js";
import { type DecisionEntry, isFinalState, JobState, type JobSubmission, type JobView } from "../jobs/index.js";
import type { Milliseconds } from "../time/index.js";
import type { ListedWorker } from "../vm-list/index.js";
import {
    type HeartbeatMessage,
    type RunningTask,
    type StartMessage,
    type WorkerRefusal,
    type WorkerReport,
} from "../worker/index.js";
import { checkAdmission } from "./admission.js";
import { JobLifecycle } from "./job-lifecycle.js";
import { JobRegistry } from "./job-registry.js";
import { describeJob, repeatedOutcome } from "./job-view.js";
import { PendingQueue } from "./pending-queue.js";
import { PlacementCycle } from "./placement-cycle.js";
import { jobOfRecord, type ShardRecord } from "./records.js";
import { ShardContext, type ShardSchedulerOptions } from "./shard-context.js";
import { type SlotGrant, type SlotRequest } from "./slot-ledger.js";
import { StartRequests } from "./start-requests.js";
import { emptyTransition } from "./transition-builder.js";
import { type ShardSnapshot, type SubmitOutcome, type Transition, type UnrepeatableRequest } from "./types.js";
import { WorkerController } from "./worker-controller.js";
import { WorkerTable } from "./worker-table.js";

/** A validated submission. Equal request bodies have equal digests. */
export interface Submission {
    readonly submission: JobSubmission;
    readonly digest: string;
}

/**
 * Scheduling logic of one shard's owner, as a deterministic state machine.
 *
 * Each input changes the state through records and returns a transition: the records, and the effects to carry out once
 * those are committed. It performs no I/O and reads time only from the clock it is given.
 */
export class ShardScheduler {
    readonly #context: ShardContext;
    readonly #jobs: JobLifecycle;
    readonly #workerController: WorkerController;
    readonly #startRequests: StartRequests;
    readonly #placement: PlacementCycle;
    #nextJob = 1;

    constructor(options: ShardSchedulerOptions) {
        this.#context = new ShardContext(options);
        this.#jobs = new JobLifecycle(this.#context);
        this.#workerController = new WorkerController(this.#context, this.#jobs);
        this.#startRequests = new StartRequests(this.#context, this.#jobs, this.#workerController);
        this.#placement = new PlacementCycle(this.#context, this.#jobs);
    }

    get workers(): WorkerTable {
        return this.#context.workers;
    }

    get queue(): PendingQueue {
        return this.#context.queue;
    }

    get registry(): JobRegistry {
        return this.#context.registry;
    }

    /** Whether the list of VMs has been read. Before that no worker is known. */
    get hasWorkerList(): boolean {
        return this.#workerController.hasWorkerList;
    }

    /** Restores the state from the journal. Must be called once, before any other input. */
    recover(snapshot: ShardSnapshot | undefined, records: readonly ShardRecord[]): void {
        if (snapshot !== undefined) {
            this.registry.restore(snapshot);
        }
        records.forEach(record => this.registry.apply(record));
        this.#context.leasePolicy.recover(this.registry.leaseTerms);
        for (const job of this.registry.jobs.values()) {
            this.#jobs.recover(job);
            this.#workerController.recover(job);
        }
    }

    /** Applies the platform's list of VMs, limited to those of this shard. */
    applyWorkerList(listed: readonly ListedWorker[]): Transition {
        return this.#workerController.applyWorkerList(listed);
    }

    /** Applies the report of a worker that has accepted this owner's epoch. `sentAt`: when the claim was sent. */
    claimAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Transition {
        return this.#workerController.claimAnswered(worker, report, sentAt);
    }

    /** Creates the next heartbeat for a worker, or returns undefined when the worker must be claimed first. */
    nextHeartbeat(worker: WorkerId, wait: Milliseconds): HeartbeatMessage | undefined {
        return this.#workerController.nextHeartbeat(worker, wait);
    }

    /** Queues the acknowledgements of an unanswered heartbeat again. */
    heartbeatFailed(worker: WorkerId, message: HeartbeatMessage): void {
        this.#workerController.heartbeatFailed(worker, message);
    }

    /** Applies the report that answers a heartbeat. `sentAt`: when the heartbeat was sent. */
    heartbeatAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Transition {
        return this.#workerController.heartbeatAnswered(worker, report, sentAt);
    }

    /** Processes what is due by now: expired leases, deadlines, retries and retention. */
    tick(): Transition {
        const builder = this.#context.beginTransition();
        const now = this.#context.now();
        const settings = this.#context.options.settings();
        this.#placement.updateStartRate(now);
        const terms = this.#context.leasePolicy.termsToRecord(settings, now);
        if (terms !== undefined) {
            builder.record({ kind: "terms", terms });
        }
        this.#workerController.expireSilent(now, settings.silentAfter, builder);
        this.#jobs.requeueDelayed(now);
        this.#jobs.expireOverdue(builder);
        this.#jobs.purgeExpired(builder);
        return builder.build();
    }

    /** Accepts or refuses a job. A submission whose key and body are known returns the job accepted before. */
    submit(input: Submission): { readonly transition: Transition; readonly outcome: SubmitOutcome; } {
        const { submission, digest } = input;
        const known = submission.key === undefined ? undefined : this.registry.findByKey(submission.key);
        if (known !== undefined) {
            return { transition: emptyTransition, outcome: repeatedOutcome(known, digest) };
        }
        const refusal = checkAdmission(submission, {
            shapes: this.hasWorkerList ? this.workers.shapes() : undefined,
            queueLength: this.queue.length,
            settings: this.#context.options.settings(submission.class),
            expectedWait: position => this.#placement.expectedWait(position),
        });
        if (refusal !== undefined) {
            return { transition: emptyTransition, outcome: { kind: "refused", refusal } };
        }
        const { shard, epoch } = this.#context.options;
        const job = jobId(`${shard}.${epoch}.${this.#nextJob++}`);
        const builder = this.#context.beginTransition();
        builder.record({
            kind: "submitted",
            at: this.#context.timestamp(),
            job,
            key: submission.key ?? job,
            digest,
            submission,
        });
        const entry = this.#context.jobOf(job);
        this.#jobs.watchDeadline(entry);
        this.#context.services.add(entry);
        this.#jobs.enqueue(entry, entry.tasks);
        return { transition: builder.build(), outcome: { kind: "accepted", job, repeated: false } };
    }

    /** Cancels a job; undefined when the job is unknown. */
    cancel(id: JobId): Transition | undefined {
        const job = this.registry.jobs.get(id);
        if (job === undefined) {
            return undefined;
        }
        if (isFinalState(job.state) || job.state === JobState.Cancelling) {
            return emptyTransition;
        }
        const builder = this.#context.beginTransition();
        builder.record({ kind: "cancel", at: this.#context.timestamp(), job: id });
        this.#jobs.endJob(job, builder);
        return builder.build();
    }

    /** Describes a job for its caller. A job is reported only once its submission is committed, and a final state only once that is. */
    view(id: JobId): JobView | undefined {
        const job = this.registry.jobs.get(id);
        if (job === undefined || this.registry.uncommittedJobs.has(id)) {
            return undefined;
        }
        const unit = job.state === JobState.Queued ? this.queue.unitOf(job.tasks[0].task) : undefined;
        const place = unit === undefined ? undefined : this.queue.positionOf(unit);
        return describeJob(job, {
            place,
            expectedWait: place === undefined ? undefined : this.#placement.expectedWait(place),
        });
    }

    /** Decisions about a job whose records are committed, in order. */
    historyOf(id: JobId): readonly DecisionEntry[] {
        const job = this.registry.jobs.get(id);
        // Each record of a job adds at most one decision.
        return job?.history.slice(0, Math.max(0, job.history.length - job.unkept)) ?? [];
    }

    findByKey(key: string): JobId | undefined {
        return this.registry.findByKey(key)?.job;
    }

    /**
     * Returns the message that starts an attempt, or undefined when it must no longer be sent.
     * `mayHaveArrived`: a copy was sent before and not answered.
     */
    startMessage(id: TaskId, attempt: Attempt, mayHaveArrived: boolean): StartMessage | undefined {
        return this.#startRequests.buildMessage(id, attempt, mayHaveArrived);
    }

    startAccepted(id: TaskId, attempt: Attempt, running: RunningTask): Transition {
        return this.#startRequests.accepted(id, attempt, running);
    }

    /** Applies a worker's refusal of a start; without `refusal`, the start was never sent. */
    startRefused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Transition {
        return this.#startRequests.refused(id, attempt, refusal);
    }

    /** Runs a placement cycle if one is due. Nothing is placed while the journal accepts no records (`mayRecord` false). */
    schedule(mayRecord: boolean): Transition {
        return this.#placement.run(mayRecord);
    }

    /** Grants slots of a service's instances to a gateway; undefined when the service is unknown. */
    acquireSlots(service: string, request: SlotRequest): SlotGrant[] | undefined {
        if (!this.#context.services.has(service)) {
            return undefined;
        }
        return this.#context.mayGrantLeases() ? this.#context.services.acquire(service, request) : [];
    }

    /**
     * Records that an at-most-once live request is about to be sent. When another send has used the key, returns that one as
     * `earlier` and records nothing. `nonce` identifies the send, so that a call retried after a lost answer is allowed.
     */
    beginUnrepeatable(
        key: string,
        digest: string,
        nonce: string,
    ): { readonly transition: Transition; readonly earlier: UnrepeatableRequest | undefined; } {
        const known = this.registry.unrepeatableRequests.get(key);
        if (known !== undefined && known.nonce !== nonce) {
            return { transition: emptyTransition, earlier: known };
        }
        // A retried call records again: its first record may not be committed yet, and must be before the request is sent.
        const builder = this.#context.beginTransition();
        builder.record({ kind: "once-began", at: this.#context.timestamp(), key, digest, nonce });
        return { transition: builder.build(), earlier: undefined };
    }

    /** Records that an at-most-once live request was answered or, without a status, that it did not run. */
    endUnrepeatable(key: string, status: number | undefined): Transition {
        const builder = this.#context.beginTransition();
        builder.record({ kind: "once-ended", at: this.#context.timestamp(), key, status });
        return builder.build();
    }

    /** Must be called once the records of a transition are committed. */
    onCommitted(transition: Transition): void {
        for (const record of transition.records) {
            if (record.kind === "submitted") {
                this.registry.uncommittedJobs.delete(record.job);
            }
            const job = jobOfRecord(record);
            const entry = job === undefined ? undefined : this.registry.jobs.get(job);
            if (entry !== undefined) {
                entry.unkept--;
            }
            if (record.kind === "terms") {
                this.#context.leasePolicy.onCommitted(record.terms);
            }
            if (record.kind === "ended") {
                const { task, attempt } = record;
                this.workers.get(record.worker)?.pendingAcknowledgements.push({ task, attempt });
            }
        }
    }

    /** Whether this is the task's current attempt and it is assigned to a worker. */
    isCurrent(id: TaskId, attempt: Attempt): boolean {
        const task = this.registry.findTask(id);
        return task?.attempt === attempt && task.assignment !== undefined;
    }
}
