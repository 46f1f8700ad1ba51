/** Entry point of a shard's scheduling logic. */
import { type Attempt, type JobId, jobId, type TaskId, type WorkerId } from "../ids/index.js";
import { isFinalState, JobState, type JobSubmission, type JobView } from "../jobs/index.js";
import type { Milliseconds } from "../time/index.js";
import type { ListedWorker } from "../vm-list/index.js";
import {
    type HeartbeatMessage,
    type RunningTask,
    type StartMessage,
    type WorkerRefusal,
    type WorkerReport,
} from "../worker/index.js";
import { refusalOf } from "./admission.js";
import { JobBook } from "./job-book.js";
import { JobLifecycle } from "./job-lifecycle.js";
import { describeJob, repeatedOutcome } from "./job-view.js";
import { PendingQueue } from "./pending-queue.js";
import { PlacementPass } from "./placement-pass.js";
import { jobOfRecord, type ShardRecord } from "./records.js";
import { ShardContext, type ShardSchedulerOptions } from "./shard-context.js";
import { type SlotGrant, type SlotRequest } from "./slot-ledger.js";
import { StartOrders } from "./start-orders.js";
import { emptyStep } from "./step-builder.js";
import { type OnceEntry, type ShardSnapshot, type Step, type SubmitOutcome } from "./types.js";
import { WorkerReports } from "./worker-reports.js";
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
    readonly #reports: WorkerReports;
    readonly #starts: StartOrders;
    readonly #pass: PlacementPass;
    #nextJob = 1;

    constructor(options: ShardSchedulerOptions) {
        this.#context = new ShardContext(options);
        this.#jobs = new JobLifecycle(this.#context);
        this.#reports = new WorkerReports(this.#context, this.#jobs);
        this.#starts = new StartOrders(this.#context, this.#jobs, this.#reports);
        this.#pass = new PlacementPass(this.#context, this.#jobs);
    }

    get workers(): WorkerTable {
        return this.#context.workers;
    }

    get queue(): PendingQueue {
        return this.#context.queue;
    }

    get book(): JobBook {
        return this.#context.book;
    }

    /** Whether the list of VMs has been read. Before that no worker is known. */
    get hasList(): boolean {
        return this.#reports.hasList;
    }

    /** Restores the state from the journal. Must be called once, before any other input. */
    recover(snapshot: ShardSnapshot | undefined, records: readonly ShardRecord[]): void {
        if (snapshot !== undefined) {
            this.book.restore(snapshot);
        }
        records.forEach(record => this.book.apply(record));
        this.#context.terms.recover(this.book.terms);
        for (const job of this.book.jobs.values()) {
            this.#jobs.recover(job);
            this.#reports.recover(job);
        }
    }

    /** Applies the platform's list of VMs, limited to those of this shard. */
    listWorkers(listed: readonly ListedWorker[]): Step {
        return this.#reports.listWorkers(listed);
    }

    /** Applies the report of a worker that has accepted this owner's epoch. `sentAt`: when the claim was sent. */
    claimAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        return this.#reports.claimAnswered(worker, report, sentAt);
    }

    /** Creates the next heartbeat for a worker, or returns undefined when the worker must be claimed first. */
    heartbeatFor(worker: WorkerId, wait: Milliseconds): HeartbeatMessage | undefined {
        return this.#reports.heartbeatFor(worker, wait);
    }

    /** Queues the acknowledgements of an unanswered heartbeat again. */
    heartbeatFailed(worker: WorkerId, message: HeartbeatMessage): void {
        this.#reports.heartbeatFailed(worker, message);
    }

    /** Applies the report that answers a heartbeat. `sentAt`: when the heartbeat was sent. */
    heartbeatAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        return this.#reports.heartbeatAnswered(worker, report, sentAt);
    }

    /** Processes what is due by now: expired leases, deadlines, retries and retention. */
    tick(): Step {
        const builder = this.#context.builder();
        const now = this.#context.now();
        const settings = this.#context.options.settings();
        this.#pass.measureRate(now);
        const terms = this.#context.terms.due(settings, now);
        if (terms !== undefined) {
            builder.record({ kind: "terms", terms });
        }
        this.#reports.loseSilent(now, settings.silentAfter, builder);
        this.#jobs.requeueDue(now);
        this.#jobs.passDeadlines(builder);
        this.#jobs.forgetOld(builder);
        return builder.step();
    }

    /** Accepts or refuses a job. A submission whose key and body are known returns the job accepted before. */
    submit(input: Submission): { readonly step: Step; readonly outcome: SubmitOutcome; } {
        const { submission, digest } = input;
        const known = submission.key === undefined ? undefined : this.book.byKey(submission.key);
        if (known !== undefined) {
            return { step: emptyStep, outcome: repeatedOutcome(known, digest) };
        }
        const refusal = refusalOf(submission, {
            shapes: this.hasList ? this.workers.shapes() : undefined,
            queueLength: this.queue.length,
            settings: this.#context.options.settings(submission.class),
            expectedWait: place => this.#pass.expectedWait(place),
        });
        if (refusal !== undefined) {
            return { step: emptyStep, outcome: { kind: "refused", refusal } };
        }
        const { shard, epoch } = this.#context.options;
        const job = jobId(`${shard}.${epoch}.${this.#nextJob++}`);
        const builder = this.#context.builder();
        builder.record({
            kind: "submitted",
            at: this.#context.at(),
            job,
            key: submission.key ?? job,
            digest,
            submission,
        });
        const entry = this.#context.jobOf(job);
        this.#jobs.watchDeadline(entry);
        this.#context.services.add(entry);
        this.#jobs.enqueue(entry, entry.tasks);
        return { step: builder.step(), outcome: { kind: "accepted", job, repeated: false } };
    }

    /** Cancels a job; undefined when the job is unknown. */
    cancel(id: JobId): Step | undefined {
        const job = this.book.jobs.get(id);
        if (job === undefined) {
            return undefined;
        }
        if (isFinalState(job.state) || job.state === JobState.Cancelling) {
            return emptyStep;
        }
        const builder = this.#context.builder();
        builder.record({ kind: "cancel", at: this.#context.at(), job: id });
        this.#jobs.endJob(job, builder);
        return builder.step();
    }

    /** Describes a job for its caller. A final state is reported only once it is committed. */
    view(id: JobId): JobView | undefined {
        const job = this.book.jobs.get(id);
        if (job === undefined) {
            return undefined;
        }
        const unit = job.state === JobState.Queued ? this.queue.unitOf(job.tasks[0].task) : undefined;
        const place = unit === undefined ? undefined : this.queue.placeOf(unit);
        return describeJob(job, {
            place,
            expectedWait: place === undefined ? undefined : this.#pass.expectedWait(place),
        });
    }

    findByKey(key: string): JobId | undefined {
        return this.book.byKey(key)?.job;
    }

    startMessage(id: TaskId, attempt: Attempt, mayHaveArrived: boolean): StartMessage | undefined {
        return this.#starts.message(id, attempt, mayHaveArrived);
    }

    startAccepted(id: TaskId, attempt: Attempt, running: RunningTask): Step {
        return this.#starts.accepted(id, attempt, running);
    }

    startRefused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Step {
        return this.#starts.refused(id, attempt, refusal);
    }

    /** Runs a placement cycle if one is due. Nothing is placed while the journal accepts no records (`mayRecord` false). */
    schedule(mayRecord: boolean): Step {
        return this.#pass.run(mayRecord);
    }

    /** Grants slots of a service's instances to a gateway; undefined when the service is unknown. */
    acquireSlots(service: string, request: SlotRequest): SlotGrant[] | undefined {
        if (!this.#context.services.has(service)) {
            return undefined;
        }
        return this.#context.mayRenew() ? this.#context.services.acquire(service, request) : [];
    }

    /**
     * Records that an at-most-once live request is about to be sent. When another send has used the key, returns that one as
     * `earlier` and records nothing. `nonce` identifies the send, so that a call retried after a lost answer is allowed.
     */
    beginOnce(
        key: string,
        digest: string,
        nonce: string,
    ): { readonly step: Step; readonly earlier: OnceEntry | undefined; } {
        const known = this.book.once.get(key);
        if (known !== undefined && known.nonce !== nonce) {
            return { step: emptyStep, earlier: known };
        }
        // A retried call records again: its first record may not be committed yet, and must be before the request is sent.
        const builder = this.#context.builder();
        builder.record({ kind: "once-began", at: this.#context.at(), key, digest, nonce });
        return { step: builder.step(), earlier: undefined };
    }

    /** Records that an at-most-once live request was answered or, without a status, that it did not run. */
    endOnce(key: string, status: number | undefined): Step {
        const builder = this.#context.builder();
        builder.record({ kind: "once-ended", at: this.#context.at(), key, status });
        return builder.step();
    }

    /** Must be called once the records of a transition are committed. */
    kept(step: Step): void {
        for (const record of step.records) {
            const job = jobOfRecord(record);
            const entry = job === undefined ? undefined : this.book.jobs.get(job);
            if (entry !== undefined) {
                entry.unkept--;
            }
            if (record.kind === "terms") {
                this.#context.terms.kept(record.terms);
            }
            if (record.kind === "ended") {
                const { task, attempt } = record;
                this.workers.get(record.worker)?.acknowledgements.push({ task, attempt });
            }
        }
    }

    /** Whether this is the task's current attempt and it is assigned to a worker. */
    isCurrent(id: TaskId, attempt: Attempt): boolean {
        const task = this.book.task(id);
        return task?.attempt === attempt && task.assignment !== undefined;
    }
}
