/**
 * Decisions of one shard's owner.
 *
 * Each input changes the state by records and returns them with the effects that may be carried out once the records
 * are kept. The class reads time only through the clock it is given and reaches nothing outside.
 */
import { type Attempt, indexOfTask, type JobId, jobId, jobOfTask, type TaskId, type WorkerId } from "../ids/index.js";
import { isFinalState, JobState, type JobSubmission, type JobView, WorkloadClass } from "../jobs/index.js";
import { type Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { ListedWorker } from "../vm-list/index.js";
import {
    type HeartbeatMessage,
    type RunningTask,
    type StartMessage,
    WorkerRefusal,
    type WorkerReport,
} from "../worker/index.js";
import { refusalOf } from "./admission.js";
import { longestRetryAfter, passDepth, passInterval, rateWeight } from "./constants.js";
import { JobBook } from "./job-book.js";
import { JobLifecycle } from "./job-lifecycle.js";
import { describeJob, isEnding, repeatedOutcome } from "./job-view.js";
import { PendingQueue, type PendingUnit } from "./pending-queue.js";
import { jobOfRecord, type RecordedPlacement, type ShardRecord } from "./records.js";
import { ShardContext, type ShardSchedulerOptions } from "./shard-context.js";
import { type SlotGrant, type SlotRequest } from "./slot-ledger.js";
import { StepBuilder } from "./step-builder.js";
import {
    type JobEntry,
    type OnceEntry,
    type ShardSnapshot,
    type Step,
    type SubmitOutcome,
    TaskPhase,
} from "./types.js";
import { type Choice, WorkerChooser } from "./worker-chooser.js";
import { WorkerReports } from "./worker-reports.js";
import { WorkerTable } from "./worker-table.js";

/** What a caller submits, checked, with a digest that is equal for equal bodies. */
export interface Submission {
    readonly submission: JobSubmission;
    readonly digest: string;
}

const emptyStep: Step = { records: [], effects: [] };

/** See the module's comment. */
export class ShardScheduler {
    readonly #context: ShardContext;
    readonly #jobs: JobLifecycle;
    readonly #reports: WorkerReports;
    readonly #chooser: WorkerChooser;
    #nextJob = 1;
    #startsSinceTick = 0;
    #startsPerSecond = 0;
    #lastTick: Milliseconds;
    /** When the last pass was, and the room and the queue at its end. */
    #lastPass = { at: -Infinity, room: -1, ticket: -1 };

    constructor(options: ShardSchedulerOptions) {
        this.#context = new ShardContext(options);
        this.#jobs = new JobLifecycle(this.#context);
        this.#reports = new WorkerReports(this.#context, this.#jobs);
        this.#chooser = new WorkerChooser(this.#context.workers, this.#context.saver);
        this.#lastTick = this.#context.openedAt;
    }

    /** What is known of each worker. */
    get workers(): WorkerTable {
        return this.#context.workers;
    }

    /** What waits for room. */
    get queue(): PendingQueue {
        return this.#context.queue;
    }

    /** All jobs. */
    get book(): JobBook {
        return this.#context.book;
    }

    /** Whether the list of VMs has been read; before that no worker is known. */
    get hasList(): boolean {
        return this.#reports.hasList;
    }

    /** Takes over what the journal holds. Called once, before any other input. */
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

    /** Takes in the platform's list of VMs, as far as this shard has them. */
    listWorkers(listed: readonly ListedWorker[]): Step {
        return this.#reports.listWorkers(listed);
    }

    /** Takes in the answer of a worker that has accepted this owner's epoch. `sentAt`: when the claim was sent. */
    claimAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        return this.#reports.claimAnswered(worker, report, sentAt);
    }

    /** The next heartbeat for a worker that was claimed, or undefined when it must be claimed first. */
    heartbeatFor(worker: WorkerId, wait: Milliseconds): HeartbeatMessage | undefined {
        return this.#reports.heartbeatFor(worker, wait);
    }

    /** A heartbeat got no answer: what it acknowledged is acknowledged again. */
    heartbeatFailed(worker: WorkerId, message: HeartbeatMessage): void {
        this.#reports.heartbeatFailed(worker, message);
    }

    /** Takes in the answer to a heartbeat. `sentAt`: when the heartbeat was sent. */
    heartbeatAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        return this.#reports.heartbeatAnswered(worker, report, sentAt);
    }

    /** Does what time asks for: lapsed leases, deadlines, retries, retention. */
    tick(): Step {
        const builder = this.#context.builder();
        const now = this.#context.now();
        const settings = this.#context.options.settings();
        this.#measureRate(now);
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

    /** Accepts a job or refuses it with the reason; a job of the same key and body is found again. */
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
            expectedWait: place => this.#expectedWait(place),
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

    /** Ends a job at its caller's wish. Undefined when no such job is known. */
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

    /** What a caller is told of a job. A final state is told only once it is kept. */
    view(id: JobId): JobView | undefined {
        const job = this.book.jobs.get(id);
        if (job === undefined) {
            return undefined;
        }
        const unit = job.state === JobState.Queued ? this.queue.unitOf(job.tasks[0].task) : undefined;
        const place = unit === undefined ? undefined : this.queue.placeOf(unit);
        return describeJob(job, { place, expectedWait: place === undefined ? undefined : this.#expectedWait(place) });
    }

    /** The job that a caller's key names. */
    findByKey(key: string): JobId | undefined {
        return this.book.byKey(key)?.job;
    }

    /**
     * The message that starts an attempt, or undefined when it is no longer to be sent.
     * `mayHaveArrived`: a copy of it was sent before and got no answer.
     */
    startMessage(id: TaskId, attempt: Attempt, mayHaveArrived: boolean): StartMessage | undefined {
        const task = this.book.task(id);
        const job = this.book.jobs.get(jobOfTask(id));
        if (job === undefined || task?.attempt !== attempt || task.phase !== TaskPhase.Starting || !task.assignment) {
            return undefined;
        }
        const entry = this.workers.get(task.assignment.worker);
        if (entry === undefined || entry.incarnation !== task.assignment.incarnation || !this.#context.mayRenew()) {
            return undefined;
        }
        if (isEnding(job) && !mayHaveArrived) {
            return undefined;
        }
        const settings = this.#context.options.settings();
        this.#context.noteLeases(entry);
        return {
            shard: this.#context.options.shard,
            epoch: this.#context.options.epoch,
            task: id,
            attempt,
            number: entry.number,
            latestStart: settings.startWithin,
            lease: this.#context.terms.inForce(settings).leaseDuration,
            grant: task.assignment.grant,
            payload: job.submission.payload,
            checkpoint: task.checkpoint,
            serves: job.submission.class === WorkloadClass.Service,
        };
    }

    /** A worker accepted a start. */
    startAccepted(id: TaskId, attempt: Attempt, running: RunningTask): Step {
        const task = this.book.task(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting) {
            return emptyStep;
        }
        const builder = this.#context.builder();
        this.#reports.confirm(task, running);
        builder.changed(jobOfTask(id));
        this.#jobs.stopIfUnwanted(task, builder);
        return builder.step();
    }

    /** A worker refused a start, or it was given up before it was ever sent: the attempt was not run. */
    startRefused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Step {
        const task = this.book.task(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting || task.assignment === undefined) {
            return emptyStep;
        }
        const builder = this.#context.builder();
        const entry = this.workers.get(task.assignment.worker);
        if (entry !== undefined && refusal === WorkerRefusal.Leaving) {
            entry.saidLeaving = true;
            this.#context.refresh(entry);
        }
        this.#jobs.notStarted(task, refusal === undefined ? "never sent" : `the worker refused: ${refusal}`, builder);
        return builder.step();
    }

    /** Places what fits. `mayRecord` is false while the journal takes no records: then nothing is placed. */
    schedule(mayRecord: boolean): Step {
        const builder = this.#context.builder();
        if (mayRecord && this.#context.mayRenew() && this.queue.length > 0) {
            const now = this.#context.now();
            if (this.#isPassDue(now)) {
                this.#context.saver.refresh(now);
                this.queue.offer(unit => this.#place(unit, now, builder), passDepth);
                this.#lastPass = { at: now, room: this.workers.index.roomVersion, ticket: this.#jobs.nextTicket };
            }
        }
        return builder.step();
    }

    /** What did not fit before can only fit now if room came free; the rest waits for the next regular pass. */
    #isPassDue(now: Milliseconds): boolean {
        const { at, room, ticket } = this.#lastPass;
        return now - at >= passInterval || room !== this.workers.index.roomVersion || ticket !== this.#jobs.nextTicket;
    }

    /** Grants slots of a service's instances to a gateway. Undefined when no such service is known. */
    acquireSlots(service: string, request: SlotRequest): SlotGrant[] | undefined {
        if (!this.#context.services.has(service)) {
            return undefined;
        }
        return this.#context.mayRenew() ? this.#context.services.acquire(service, request) : [];
    }

    /**
     * Records that an unrepeatable live request is about to be sent; a second one of the same key is told the first.
     * `nonce` names the send: one that asks again, because an owner's answer was lost, is the same and may go out.
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
        // The same send records itself again: its first record may not be kept yet, and it must be before the send.
        const builder = this.#context.builder();
        builder.record({ kind: "once-began", at: this.#context.at(), key, digest, nonce });
        return { step: builder.step(), earlier: undefined };
    }

    /** Records that an unrepeatable live request was answered; without a status, that it was surely not run. */
    endOnce(key: string, status: number | undefined): Step {
        const builder = this.#context.builder();
        builder.record({ kind: "once-ended", at: this.#context.at(), key, status });
        return builder.step();
    }

    /** The records of a step are kept. */
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

    /** Wait that is told to one who is refused or comes later, from the rate at which the queue drains. */
    #expectedWait(place: number): Milliseconds {
        const rate = Math.max(this.#startsPerSecond, 0.1);
        return Math.min(longestRetryAfter, Math.ceil(place / rate * 1000));
    }

    #place(unit: PendingUnit, now: Milliseconds, builder: StepBuilder): boolean {
        const job = this.#context.jobOf(unit.job);
        const { size } = unit;
        const { team } = job.submission;
        if (
            !this.#context.teams.isWithinQuota(team, size, unit.tasks.length, this.#context.options.settings().quotas)
        ) {
            return false;
        }
        const settings = this.#context.options.settings(job.submission.class);
        const avoided = this.#context.health.failedWorkersOf(job.job);
        const choice = this.#chooser.choose({ unit, job, settings, avoided, now });
        if (choice === undefined) {
            if (unit.tasks.length > 1 && now - unit.since >= settings.gangPatience) {
                this.#context.saver.save(job.job, size, unit.tasks.length, now);
            }
            return false;
        }
        this.#context.saver.done(unit.job);
        this.#recordPlacements(job, unit, choice, size, builder);
        return true;
    }

    #recordPlacements(job: JobEntry, unit: PendingUnit, choice: Choice, grant: Resources, builder: StepBuilder): void {
        const { workers, reason } = choice;
        const tasks = unit.tasks.map(task => job.tasks[indexOfTask(task)]);
        const placements = tasks.map((task, index): RecordedPlacement => ({
            task: task.task,
            attempt: (task.attempt + 1) as Attempt,
            worker: workers[index].worker,
            incarnation: workers[index].incarnation!,
            grant,
        }));
        builder.record({ kind: "starting", at: this.#context.at(), job: job.job, placements, reason });
        placements.forEach(({ worker, task, attempt }, index) => {
            this.workers.charge(workers[index], tasks[index], grant);
            this.#context.teams.take(job.submission.team, grant);
            builder.effect({ kind: "start", worker, task, attempt });
        });
        this.#startsSinceTick += placements.length;
    }

    /** Whether an attempt is the one that its task has now, and is charged to a worker. */
    isCurrent(id: TaskId, attempt: Attempt): boolean {
        const task = this.book.task(id);
        return task?.attempt === attempt && task.assignment !== undefined;
    }

    #measureRate(now: Milliseconds): void {
        const elapsed = now - this.#lastTick;
        if (elapsed < 1000) {
            return;
        }
        const rate = this.#startsSinceTick / elapsed * 1000;
        this.#startsPerSecond += (rate - this.#startsPerSecond) * rateWeight;
        this.#startsSinceTick = 0;
        this.#lastTick = now;
    }
}
