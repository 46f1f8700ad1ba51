/**
 * Decisions of one shard's owner.
 *
 * Each input changes the state by records and returns them with the effects that may be carried out once the records
 * are kept. The class reads time only through the clock it is given and reaches nothing outside.
 */
import TinyQueue from "tinyqueue";
import {
    type Attempt,
    type Epoch,
    indexOfTask,
    type JobId,
    jobId,
    jobOfTask,
    type ShardId,
    type TaskId,
    type WorkerId,
} from "../ids/index.js";
import { isFinalState, JobState, type JobSubmission, type JobView, RanAnswer, WorkloadClass } from "../jobs/index.js";
import { policyOf } from "../placement/index.js";
import type { Random } from "../random/index.js";
import { type Resources, resourcesKey } from "../resources/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import type { ListedWorker } from "../vm-list/index.js";
import {
    type EndedTask,
    EndKind,
    type HeartbeatMessage,
    type RunningTask,
    type StartMessage,
    StopMode,
    WorkerRefusal,
    type WorkerReport,
} from "../worker/index.js";
import { refusalOf } from "./admission.js";
import { longestRetryAfter, passDepth, passInterval, rateWeight } from "./constants.js";
import { JobBook } from "./job-book.js";
import { describeJob, isEnding, repeatedOutcome, verdictOf } from "./job-view.js";
import { LeaseTerms } from "./lease-terms.js";
import { PendingQueue, type PendingUnit } from "./pending-queue.js";
import type { RecordedPlacement, ShardRecord } from "./records.js";
import { RoomSaver } from "./room-saver.js";
import { ServiceDirectory } from "./service-directory.js";
import type { ShardSettings } from "./settings.js";
import { sizeOf } from "./size.js";
import { type SlotGrant, type SlotRequest } from "./slot-ledger.js";
import { StepBuilder } from "./step-builder.js";
import { TeamUse } from "./team-use.js";
import {
    type JobEntry,
    type OnceEntry,
    type ShardSnapshot,
    type Step,
    type SubmitOutcome,
    type TaskEntry,
    TaskPhase,
} from "./types.js";
import { type Choice, WorkerChooser } from "./worker-chooser.js";
import { WorkerHealth } from "./worker-health.js";
import { isLeaving, type WorkerEntry, WorkerTable } from "./worker-table.js";

/** What a shard's owner is made from. */
export interface ShardSchedulerOptions {
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly clock: Clock;
    readonly random: Random;
    /** Reads the settings in force for a workload class, or for the shard as a whole; called at each decision. */
    readonly settings: (workloadClass?: WorkloadClass) => ShardSettings;
    /** When ownership was last confirmed by the platform, by the monotonic clock. */
    readonly lastContact: () => Milliseconds;
    /** Whether a former owner's leases and grants may still run. */
    readonly hasFormerOwner: boolean;
}

/** What a caller submits, checked, with a digest that is equal for equal bodies. */
export interface Submission {
    readonly submission: JobSubmission;
    readonly digest: string;
}

interface Due {
    readonly at: number;
    readonly job: JobId;
}

interface Delayed {
    readonly at: Milliseconds;
    readonly unit: PendingUnit;
}

const emptyStep: Step = { records: [], effects: [] };

/** See the module's comment. */
export class ShardScheduler {
    readonly workers = new WorkerTable();
    readonly queue = new PendingQueue();
    readonly book = new JobBook();
    readonly #health = new WorkerHealth();
    readonly #saver: RoomSaver;
    readonly #terms = new LeaseTerms();
    readonly #services: ServiceDirectory;
    readonly #chooser: WorkerChooser;
    readonly #sizes = new WeakMap<JobEntry, Resources>();
    readonly #teams = new TeamUse();
    readonly #deadlines = new TinyQueue<Due>([], (left, right) => left.at - right.at);
    readonly #delayed = new TinyQueue<Delayed>([], (left, right) => left.at - right.at);
    readonly #finished: JobEntry[] = [];
    /** Tasks of a journal whose worker has not been listed yet. */
    readonly #unlisted = new Set<TaskEntry>();
    readonly #openedAt: Milliseconds;
    #hasList = false;
    #nextJob = 1;
    #nextTicket = 1;
    #startsSinceTick = 0;
    #startsPerSecond = 0;
    #lastTick: Milliseconds;
    /** When the last pass was, and the room and the queue at its end. */
    #lastPass = { at: -Infinity, room: -1, ticket: -1 };
    #atTime = NaN;
    #atText = "";

    constructor(private readonly options: ShardSchedulerOptions) {
        this.#openedAt = options.clock.monotonic();
        this.#lastTick = this.#openedAt;
        this.#saver = new RoomSaver(this.workers, task => this.#expectedEnd(task));
        this.#chooser = new WorkerChooser(this.workers, this.#saver);
        this.#services = new ServiceDirectory({
            workers: this.workers,
            hasFormerOwner: options.hasFormerOwner,
            now: () => this.#now(),
            slotGrant: () => options.settings().slotGrant,
        });
    }

    /** Whether the list of VMs has been read; before that no worker is known. */
    get hasList(): boolean {
        return this.#hasList;
    }

    /** Takes over what the journal holds. Called once, before any other input. */
    recover(snapshot: ShardSnapshot | undefined, records: readonly ShardRecord[]): void {
        if (snapshot !== undefined) {
            this.book.restore(snapshot);
        }
        records.forEach(record => this.book.apply(record));
        this.#terms.recover(this.book.terms);
        for (const job of this.book.jobs.values()) {
            this.#recoverJob(job);
        }
    }

    /** Accepts a job or refuses it with the reason; a job of the same key and body is found again. */
    submit(input: Submission): { readonly step: Step; readonly outcome: SubmitOutcome; } {
        const { submission, digest } = input;
        const known = submission.key === undefined ? undefined : this.book.byKey(submission.key);
        if (known !== undefined) {
            return { step: emptyStep, outcome: repeatedOutcome(known, digest) };
        }
        const refusal = refusalOf(submission, {
            shapes: this.#hasList ? this.workers.shapes() : undefined,
            queueLength: this.queue.length,
            settings: this.options.settings(submission.class),
            expectedWait: place => this.#expectedWait(place),
        });
        if (refusal !== undefined) {
            return { step: emptyStep, outcome: { kind: "refused", refusal } };
        }
        const { shard, epoch } = this.options;
        const job = jobId(`${shard}.${epoch}.${this.#nextJob++}`);
        const builder = this.#builder();
        builder.record({
            kind: "submitted",
            at: this.#at(),
            job,
            key: submission.key ?? job,
            digest,
            submission,
        });
        const entry = this.#jobOf(job);
        this.#watchDeadline(entry);
        this.#services.add(entry);
        this.#enqueue(entry, entry.tasks);
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
        const builder = this.#builder();
        builder.record({ kind: "cancel", at: this.#at(), job: id });
        this.#endJob(job, builder);
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

    /** Takes in the platform's list of VMs, as far as this shard has them. */
    listWorkers(listed: readonly ListedWorker[]): Step {
        const builder = this.#builder();
        const now = this.#now();
        const names = new Set(listed.map(worker => worker.worker));
        for (const worker of listed) {
            const entry = this.workers.get(worker.worker);
            if (entry === undefined) {
                this.workers.add(worker, this.#leasesOfFormerOwner());
            }
            else {
                entry.listed = worker;
                this.#refresh(entry);
            }
        }
        this.#hasList = true;
        this.#chargeUnlisted(builder);
        for (const entry of [...this.workers.values()]) {
            entry.unlistedSince = names.has(entry.worker) ? undefined : entry.unlistedSince ?? now;
            if (this.#isGone(entry, now)) {
                this.#loseTasks(entry, "the platform no longer lists its VM", builder);
                this.workers.remove(entry);
            }
            else if (isLeaving(entry)) {
                this.#emptyLeaving(entry, builder);
            }
        }
        return builder.step();
    }

    /**
     * Whether a worker is gone for good: neither listed nor heard for as long as a lease runs. One reading of the list is
     * not enough, as the list lags and may lack a VM that runs tasks.
     */
    #isGone(entry: WorkerEntry, now: Milliseconds): boolean {
        const { unlistedSince } = entry;
        if (unlistedSince === undefined) {
            return false;
        }
        const isSilent = now - entry.answeredAt > this.options.settings().silentAfter;
        return isSilent && (entry.tasks.size === 0 || now - unlistedSince > this.#longestLease());
    }

    /** How long a lease may run that any owner gives now. */
    #longestLease(): Milliseconds {
        const former = this.#terms.ofFormerOwner();
        const own = this.#terms.inForce(this.options.settings());
        return Math.max(former.leaseDuration + former.leaseMargin, own.leaseDuration + own.leaseMargin);
    }

    /** Takes in the answer of a worker that has accepted this owner's epoch. `sentAt`: when the claim was sent. */
    claimAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        const entry = this.workers.get(worker);
        if (entry === undefined) {
            return emptyStep;
        }
        const builder = this.#builder();
        for (const task of [...entry.tasks.values()]) {
            const isKnown = [...report.running, ...report.ended].some(other => isSameAttempt(other, task));
            if (!isKnown && task.assignment?.incarnation === report.incarnation) {
                // The worker refuses the former owner from now on, so a start that has not arrived never will.
                this.#notStarted(task, "the start never reached the worker", builder);
            }
        }
        entry.incarnation = report.incarnation;
        this.#takeReport(entry, report, sentAt, builder);
        // No former owner can renew here any more, so the leases that run now end within one lease.
        const { leaseDuration, leaseMargin } = this.#terms.ofFormerOwner();
        entry.leasesLapseAt = this.#now() + leaseDuration + leaseMargin;
        return builder.step();
    }

    /** The next heartbeat for a worker that was claimed, or undefined when it must be claimed first. */
    heartbeatFor(worker: WorkerId, wait: Milliseconds): HeartbeatMessage | undefined {
        const entry = this.workers.get(worker);
        if (entry?.incarnation === undefined) {
            return undefined;
        }
        const renewed = this.#mayRenew()
            ? [...entry.tasks.values()].filter(task => task.stopSent !== true && task.confirmedAt !== undefined)
            : [];
        if (renewed.length > 0) {
            this.#noteLeases(entry);
        }
        const acknowledged = entry.acknowledgements;
        entry.acknowledgements = [];
        return {
            shard: this.options.shard,
            epoch: this.options.epoch,
            number: entry.number,
            renewals: renewed.map(task => ({ task: task.task, attempt: task.attempt })),
            acknowledged,
            lease: this.#terms.inForce(this.options.settings()).leaseDuration,
            wait,
        };
    }

    /** A heartbeat got no answer: what it acknowledged is acknowledged again. */
    heartbeatFailed(worker: WorkerId, message: HeartbeatMessage): void {
        this.workers.get(worker)?.acknowledgements.push(...message.acknowledged);
    }

    /** Takes in the answer to a heartbeat. `sentAt`: when the heartbeat was sent. */
    heartbeatAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Step {
        const entry = this.workers.get(worker);
        if (entry === undefined) {
            return emptyStep;
        }
        const builder = this.#builder();
        entry.incarnation = report.incarnation;
        this.#takeReport(entry, report, sentAt, builder);
        return builder.step();
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
        if (entry === undefined || entry.incarnation !== task.assignment.incarnation || !this.#mayRenew()) {
            return undefined;
        }
        if (isEnding(job) && !mayHaveArrived) {
            return undefined;
        }
        const settings = this.options.settings();
        this.#noteLeases(entry);
        return {
            shard: this.options.shard,
            epoch: this.options.epoch,
            task: id,
            attempt,
            number: entry.number,
            latestStart: settings.startWithin,
            lease: this.#terms.inForce(settings).leaseDuration,
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
        const builder = this.#builder();
        this.#confirm(task, running);
        builder.changed(jobOfTask(id));
        this.#stopIfUnwanted(task, builder);
        return builder.step();
    }

    /** A worker refused a start, or it was given up before it was ever sent: the attempt was not run. */
    startRefused(id: TaskId, attempt: Attempt, refusal: WorkerRefusal | undefined): Step {
        const task = this.book.task(id);
        if (task?.attempt !== attempt || task.phase !== TaskPhase.Starting || task.assignment === undefined) {
            return emptyStep;
        }
        const builder = this.#builder();
        const entry = this.workers.get(task.assignment.worker);
        if (entry !== undefined && refusal === WorkerRefusal.Leaving) {
            entry.saidLeaving = true;
            this.#refresh(entry);
        }
        this.#notStarted(task, refusal === undefined ? "never sent" : `the worker refused: ${refusal}`, builder);
        return builder.step();
    }

    /** Does what time asks for: lapsed leases, deadlines, retries, retention. */
    tick(): Step {
        const builder = this.#builder();
        const now = this.#now();
        this.#measureRate(now);
        const terms = this.#terms.due(this.options.settings(), now);
        if (terms !== undefined) {
            builder.record({ kind: "terms", terms });
        }
        const { silentAfter } = this.options.settings();
        for (const entry of this.workers.values()) {
            this.#refresh(entry);
            // A worker that answers says itself what became of its tasks; an old lease time means only that it was idle.
            const isSilent = now - entry.answeredAt > silentAfter;
            if (entry.tasks.size > 0 && isSilent && now > entry.leasesLapseAt) {
                this.#loseTasks(entry, "its worker was silent until every lease there had lapsed", builder);
            }
        }
        while (this.#delayed.length > 0 && this.#delayed.peek()!.at <= now) {
            this.#requeue(this.#delayed.pop()!.unit);
        }
        this.#passDeadlines(builder);
        this.#forgetOld(builder);
        return builder.step();
    }

    /** Places what fits. `mayRecord` is false while the journal takes no records: then nothing is placed. */
    schedule(mayRecord: boolean): Step {
        const builder = this.#builder();
        if (mayRecord && this.#mayRenew() && this.queue.length > 0) {
            const now = this.#now();
            if (this.#isPassDue(now)) {
                this.#saver.refresh(now);
                this.queue.offer(unit => this.#place(unit, now, builder), passDepth);
                this.#lastPass = { at: now, room: this.workers.index.roomVersion, ticket: this.#nextTicket };
            }
        }
        return builder.step();
    }

    /** What did not fit before can only fit now if room came free; the rest waits for the next regular pass. */
    #isPassDue(now: Milliseconds): boolean {
        const { at, room, ticket } = this.#lastPass;
        return now - at >= passInterval || room !== this.workers.index.roomVersion || ticket !== this.#nextTicket;
    }

    /** Grants slots of a service's instances to a gateway. Undefined when no such service is known. */
    acquireSlots(service: string, request: SlotRequest): SlotGrant[] | undefined {
        if (!this.#services.has(service)) {
            return undefined;
        }
        return this.#mayRenew() ? this.#services.acquire(service, request) : [];
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
        const builder = this.#builder();
        builder.record({ kind: "once-began", at: this.#at(), key, digest, nonce });
        return { step: builder.step(), earlier: undefined };
    }

    /** Records that an unrepeatable live request was answered; without a status, that it was surely not run. */
    endOnce(key: string, status: number | undefined): Step {
        const builder = this.#builder();
        builder.record({ kind: "once-ended", at: this.#at(), key, status });
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
                this.#terms.kept(record.terms);
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

    #now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** The wall-clock time in text. One pass makes thousands of records in a millisecond; the text is made once. */
    #at(): string {
        const now = this.options.clock.now().getTime();
        if (now !== this.#atTime) {
            this.#atTime = now;
            this.#atText = new Date(now).toISOString();
        }
        return this.#atText;
    }

    #builder(): StepBuilder {
        return new StepBuilder(this.book);
    }

    #jobOf(id: JobId): JobEntry {
        return this.book.jobs.get(id)!;
    }

    /** Whether leases may be given: only up to the horizon after the platform last confirmed ownership. */
    #mayRenew(): boolean {
        return this.#now() - this.options.lastContact() < this.#terms.inForce(this.options.settings()).horizon;
    }

    #leasesOfFormerOwner(): Milliseconds {
        if (!this.options.hasFormerOwner) {
            return -Infinity;
        }
        const { horizon, leaseDuration, leaseMargin } = this.#terms.ofFormerOwner();
        return this.#openedAt + horizon + leaseDuration + leaseMargin;
    }

    /** Leases given now at a worker are counted there from the issue of its last number, which is not later than its answer. */
    #noteLeases(entry: WorkerEntry): void {
        const { leaseDuration, leaseMargin } = this.#terms.inForce(this.options.settings());
        entry.leasesLapseAt = Math.max(entry.leasesLapseAt, entry.answeredAt + leaseDuration + leaseMargin);
    }

    #refresh(entry: WorkerEntry): void {
        this.workers.refresh(entry, this.#now(), this.options.settings().silentAfter);
    }

    #recoverJob(job: JobEntry): void {
        if (isFinalState(job.state)) {
            this.#finished.push(job);
            return;
        }
        this.#watchDeadline(job);
        this.#services.add(job);
        for (const task of job.tasks) {
            if (task.assignment !== undefined) {
                this.#unlisted.add(task);
            }
        }
        if (job.state !== JobState.Cancelling && !job.tasks.some(task => task.phase === TaskPhase.Failed)) {
            const isWhole = job.submission.class !== WorkloadClass.Gang
                || job.tasks.every(task => task.phase === TaskPhase.Waiting);
            if (isWhole) {
                this.#enqueue(job, job.tasks.filter(task => task.phase === TaskPhase.Waiting));
            }
        }
    }

    /** Charges recovered tasks to their workers as these are listed. */
    #chargeUnlisted(builder: StepBuilder): void {
        const isOverdue = this.#now() - this.#openedAt > this.#longestLease();
        for (const task of [...this.#unlisted]) {
            const { assignment } = task;
            const entry = assignment === undefined ? undefined : this.workers.get(assignment.worker);
            if (assignment !== undefined && entry !== undefined) {
                this.workers.charge(entry, task, assignment.grant);
                this.#teams.take(this.#teamOf(task), assignment.grant);
            }
            else if (assignment !== undefined && !isOverdue) {
                continue;
            }
            this.#unlisted.delete(task);
            if (entry === undefined) {
                this.#lose(task, "the platform does not list its VM", builder);
            }
        }
    }

    #watchDeadline(job: JobEntry): void {
        const { deadlineMilliseconds } = job.submission;
        if (deadlineMilliseconds !== undefined) {
            this.#deadlines.push({ at: Date.parse(job.submittedAt) + deadlineMilliseconds, job: job.job });
        }
    }

    #enqueue(job: JobEntry, tasks: readonly TaskEntry[]): void {
        const { submission } = job;
        const signature = `${submission.class}|${submission.team}|${resourcesKey(sizeOf(submission))}`;
        const base = { job: job.job, priority: submission.priority, since: this.#now() };
        if (policyOf(submission.class).allOrNothing) {
            const ids = job.tasks.map(task => task.task);
            this.queue.add({
                ...base,
                tasks: ids,
                signature: `${signature}|${ids.length}`,
                ticket: this.#nextTicket++,
            });
            return;
        }
        for (const task of tasks) {
            this.queue.add({ ...base, tasks: [task.task], signature, ticket: this.#nextTicket++ });
        }
    }

    /** Puts a unit back at its old place among its equals' arrivals; it keeps its ticket only within new groups. */
    #requeue(unit: PendingUnit): void {
        const job = this.book.jobs.get(unit.job);
        const isWanted = job !== undefined && !isFinalState(job.state) && job.state !== JobState.Cancelling
            && !job.tasks.some(task => task.phase === TaskPhase.Failed);
        if (isWanted) {
            this.queue.add({ ...unit, ticket: this.#nextTicket++ });
        }
    }

    #place(unit: PendingUnit, now: Milliseconds, builder: StepBuilder): boolean {
        const job = this.#jobOf(unit.job);
        const size = this.#sizeOf(job);
        const { team } = job.submission;
        if (!this.#teams.isWithinQuota(team, size, unit.tasks.length, this.options.settings().quotas)) {
            return false;
        }
        const settings = this.options.settings(job.submission.class);
        const avoided = this.#health.failedWorkersOf(job.job);
        const choice = this.#chooser.choose({ unit, job, size, settings, avoided, now });
        if (choice === undefined) {
            if (unit.tasks.length > 1 && now - unit.since >= settings.gangPatience) {
                this.#saver.save(job.job, size, unit.tasks.length, now);
            }
            return false;
        }
        this.#saver.done(unit.job);
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
        builder.record({ kind: "starting", at: this.#at(), job: job.job, placements, reason });
        placements.forEach(({ worker, task, attempt }, index) => {
            this.workers.charge(workers[index], tasks[index], grant);
            this.#teams.take(job.submission.team, grant);
            builder.effect({ kind: "start", worker, task, attempt });
        });
        this.#startsSinceTick += placements.length;
    }

    /** When a running task is expected to end, by its caller's word; never, when nothing was said. */
    #expectedEnd(task: TaskEntry): Milliseconds {
        const run = this.book.jobs.get(jobOfTask(task.task))?.submission.expectedRunMilliseconds;
        return run === undefined ? Infinity : (task.confirmedAt ?? this.#now()) + run;
    }

    #teamOf(task: TaskEntry): string {
        return this.#jobOf(jobOfTask(task.task)).submission.team;
    }

    #sizeOf(job: JobEntry): Resources {
        let size = this.#sizes.get(job);
        if (size === undefined) {
            size = sizeOf(job.submission);
            this.#sizes.set(job, size);
        }
        return size;
    }

    #takeReport(entry: WorkerEntry, report: WorkerReport, sentAt: Milliseconds, builder: StepBuilder): void {
        entry.number = report.number;
        entry.answeredAt = this.#now();
        entry.saidLeaving = report.leaving;
        const running = new Map(report.running.map(task => [task.task, task]));
        report.ended.forEach(ended => this.#takeEnd(entry, ended, builder));
        for (const task of [...entry.tasks.values()]) {
            this.#compareWithReport(task, running.get(task.task), report, sentAt, builder);
        }
        entry.strangers = this.#stopStrangers(entry, report, builder);
        if (report.leaving) {
            this.#emptyLeaving(entry, builder);
        }
        this.#refresh(entry);
    }

    #compareWithReport(
        task: TaskEntry,
        running: RunningTask | undefined,
        report: WorkerReport,
        sentAt: Milliseconds,
        builder: StepBuilder,
    ): void {
        if (running !== undefined && running.attempt === task.attempt) {
            if (task.phase === TaskPhase.Starting || task.serviceAddress !== running.serviceAddress) {
                this.#confirm(task, running);
                builder.changed(jobOfTask(task.task));
            }
            this.#stopIfUnwanted(task, builder);
            return;
        }
        const isOther = task.assignment?.incarnation !== report.incarnation;
        if (isOther) {
            this.#lose(task, "its worker was restarted", builder);
        }
        else if (task.confirmedAt !== undefined && sentAt > task.confirmedAt) {
            this.#lose(task, "its worker no longer knows it", builder);
        }
    }

    #confirm(task: TaskEntry, running: RunningTask): void {
        task.phase = TaskPhase.Running;
        task.confirmedAt = this.#now();
        task.serviceAddress = running.serviceAddress;
        this.#jobOf(jobOfTask(task.task)).ran = RanAnswer.Ran;
    }

    /** A start that was confirmed after its job was ended, or after its gang fell apart, is stopped. */
    #stopIfUnwanted(task: TaskEntry, builder: StepBuilder): void {
        const job = this.#jobOf(jobOfTask(task.task));
        const isBrokenGang = job.submission.class === WorkloadClass.Gang
            && job.tasks.some(other => other.phase === TaskPhase.Waiting);
        if (isEnding(job) || isBrokenGang) {
            this.#stop(task, StopMode.Stop, builder);
        }
    }

    #takeEnd(entry: WorkerEntry, ended: EndedTask, builder: StepBuilder): void {
        const task = this.book.task(ended.task);
        if (task === undefined || task.attempt !== ended.attempt || task.assignment?.worker !== entry.worker) {
            // Acknowledged only once its record is kept: a worker that forgot an end would look as if it had never
            // been given the start, and the next owner would run the task again.
            if ((this.book.jobs.get(jobOfTask(ended.task))?.unkept ?? 0) === 0) {
                entry.acknowledgements.push({ task: ended.task, attempt: ended.attempt });
            }
            return;
        }
        const job = this.#jobOf(jobOfTask(ended.task));
        const kind = this.#checkedEnd(ended);
        this.#noteHealth(entry, job, kind);
        const { assignment } = task;
        const isFinal = this.#isFinalEnd(job, task, kind);
        const output = kind === ended.kind ? ended.output : "the result is larger than the settings allow";
        builder.record({
            kind: "ended",
            at: this.#at(),
            task: ended.task,
            attempt: ended.attempt,
            worker: entry.worker,
            end: kind,
            output,
            isFinal,
        });
        this.#discharge(task, entry, assignment.grant);
        this.#afterTask(job, task, builder);
    }

    /** A result that is too large for the journal is a failure: a shortened one would be a wrong answer. */
    #checkedEnd(ended: EndedTask): EndKind {
        const isTooLarge = Buffer.byteLength(ended.output) > this.options.settings().resultBytes;
        return isTooLarge && ended.kind === EndKind.Succeeded ? EndKind.Failed : ended.kind;
    }

    #noteHealth(entry: WorkerEntry, job: JobEntry, kind: EndKind): void {
        if (kind === EndKind.Succeeded) {
            this.#health.noteSuccess(entry.worker, job.job);
        }
        else if (kind === EndKind.Failed && this.#health.noteFailure(entry.worker, job.job)) {
            this.#quarantine(entry);
        }
    }

    #quarantine(entry: WorkerEntry): void {
        const now = this.#now();
        const { quarantineShare, quarantineDuration } = this.options.settings();
        const quarantined = [...this.workers.values()].filter(other => other.quarantinedUntil > now).length;
        if (quarantined + 1 > this.workers.size * quarantineShare) {
            return;
        }
        const count = this.#health.beginQuarantine(entry.worker);
        entry.quarantinedUntil = now + quarantineDuration * 2 ** Math.min(count - 1, 6);
        this.#refresh(entry);
    }

    #isFinalEnd(job: JobEntry, task: TaskEntry, kind: EndKind): boolean {
        if (kind === EndKind.Succeeded || kind === EndKind.Checkpointed) {
            return false;
        }
        if (job.submission.class === WorkloadClass.Service) {
            return false;
        }
        if (kind === EndKind.Stopped && !isEnding(job) && job.submission.class === WorkloadClass.Gang) {
            return false;
        }
        return job.submission.unrepeatable
            || task.spent + 1 > this.options.settings(job.submission.class).retryAttempts;
    }

    #notStarted(task: TaskEntry, reason: string, builder: StepBuilder): void {
        this.#leave(task, () => {
            builder.record({ kind: "not-started", at: this.#at(), task: task.task, attempt: task.attempt, reason });
        }, builder);
    }

    #lose(task: TaskEntry, reason: string, builder: StepBuilder): void {
        const job = this.#jobOf(jobOfTask(task.task));
        const isFinal = job.submission.class !== WorkloadClass.Service
            && (job.submission.unrepeatable
                || task.spent + 1 > this.options.settings(job.submission.class).retryAttempts);
        this.#leave(task, () => {
            builder.record({ kind: "lost", at: this.#at(), task: task.task, attempt: task.attempt, reason, isFinal });
        }, builder);
    }

    #leave(task: TaskEntry, record: () => void, builder: StepBuilder): void {
        const { assignment } = task;
        if (assignment === undefined) {
            return;
        }
        record();
        const entry = this.workers.get(assignment.worker);
        if (entry !== undefined) {
            this.#discharge(task, entry, assignment.grant);
        }
        this.#afterTask(this.#jobOf(jobOfTask(task.task)), task, builder);
    }

    #discharge(task: TaskEntry, entry: WorkerEntry, grant: Resources): void {
        if (entry.tasks.has(task.task)) {
            this.workers.discharge(entry, task, grant);
            this.#teams.giveBack(this.#teamOf(task), grant);
        }
    }

    #loseTasks(entry: WorkerEntry, reason: string, builder: StepBuilder): void {
        for (const task of [...entry.tasks.values()]) {
            this.#lose(task, reason, builder);
        }
    }

    /** What follows from a task that left its worker: the job's end, a retry, or the next try of a whole gang. */
    #afterTask(job: JobEntry, task: TaskEntry, builder: StepBuilder): void {
        builder.changed(job.job);
        if (isEnding(job) || job.tasks.every(other => other.phase === TaskPhase.Succeeded)) {
            this.#endJob(job, builder);
            return;
        }
        if (task.phase !== TaskPhase.Waiting) {
            return;
        }
        if (job.submission.class !== WorkloadClass.Gang) {
            this.#retry(job, [task], task.spent);
            return;
        }
        const assigned = job.tasks.filter(other => other.assignment !== undefined);
        assigned.forEach(other => this.#stop(other, StopMode.Stop, builder));
        if (assigned.length === 0) {
            this.#retry(job, job.tasks, Math.max(...job.tasks.map(other => other.spent)));
        }
    }

    #retry(job: JobEntry, tasks: readonly TaskEntry[], spent: number): void {
        if (spent === 0) {
            this.#enqueue(job, tasks);
            return;
        }
        const { retryDelay } = this.options.settings(job.submission.class);
        const delay = retryDelay * 2 ** Math.min(spent - 1, 6) * (0.5 + this.options.random.next());
        const { submission } = job;
        const signature = `${submission.class}|${submission.team}|${resourcesKey(sizeOf(submission))}`
            + (policyOf(submission.class).allOrNothing ? `|${tasks.length}` : "");
        const at = this.#now() + delay;
        this.#delayed.push({
            at,
            unit: {
                job: job.job,
                tasks: tasks.map(task => task.task),
                priority: submission.priority,
                signature,
                ticket: 0,
                since: at,
            },
        });
    }

    /** Ends a job that is to end: drops what waits, stops what runs, and answers once nothing runs. */
    #endJob(job: JobEntry, builder: StepBuilder): void {
        job.tasks.forEach(task => this.queue.remove(task.task));
        this.#saver.done(job.job);
        const assigned = job.tasks.filter(task => task.assignment !== undefined);
        if (assigned.length > 0) {
            assigned.filter(task => task.phase === TaskPhase.Running)
                .forEach(task => this.#stop(task, StopMode.Stop, builder));
            return;
        }
        const { state, reason } = verdictOf(job);
        this.#finish(job, state, reason, builder);
    }

    #finish(job: JobEntry, state: JobState, reason: string, builder: StepBuilder): void {
        if (isFinalState(job.state)) {
            return;
        }
        builder.record({ kind: "finished", at: this.#at(), job: job.job, state, ran: job.ran, reason });
        builder.changed(job.job);
        this.#finished.push(job);
        this.#health.forgetJob(job.job);
        this.#services.remove(job);
    }

    #stop(task: TaskEntry, mode: StopMode, builder: StepBuilder): void {
        const { assignment } = task;
        if (assignment === undefined || task.stopSent === true) {
            return;
        }
        task.stopSent = true;
        const { shard, epoch } = this.options;
        builder.effect({
            kind: "stop",
            worker: assignment.worker,
            message: { shard, epoch, task: task.task, attempt: task.attempt, mode },
        });
    }

    /** Whether an attempt is the one that its task has now, and is charged to a worker. */
    isCurrent(id: TaskId, attempt: Attempt): boolean {
        const task = this.book.task(id);
        return task?.attempt === attempt && task.assignment !== undefined;
    }

    #stopStrangers(entry: WorkerEntry, report: WorkerReport, builder: StepBuilder): number {
        const { shard, epoch } = this.options;
        let count = 0;
        for (const running of report.running) {
            const task = entry.tasks.get(running.task);
            if (task?.attempt === running.attempt) {
                continue;
            }
            count++;
            const message = { shard, epoch, task: running.task, attempt: running.attempt, mode: StopMode.Stop };
            builder.effect({ kind: "stop", worker: entry.worker, message });
        }
        return count;
    }

    /** Moves repeatable work off a leaving worker; an unrepeatable task is left to end by itself. */
    #emptyLeaving(entry: WorkerEntry, builder: StepBuilder): void {
        this.#refresh(entry);
        for (const task of entry.tasks.values()) {
            const job = this.#jobOf(jobOfTask(task.task));
            if (task.phase !== TaskPhase.Running || job.submission.unrepeatable || task.stopSent === true) {
                continue;
            }
            const { service } = job.submission;
            const isServing = service !== undefined && this.#services.isGranted(service, task.task);
            if (!isServing) {
                this.#stop(task, service === undefined ? StopMode.Checkpoint : StopMode.Stop, builder);
            }
        }
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

    #passDeadlines(builder: StepBuilder): void {
        const now = this.options.clock.now().getTime();
        while (this.#deadlines.length > 0 && this.#deadlines.peek()!.at <= now) {
            const job = this.book.jobs.get(this.#deadlines.pop()!.job);
            const isIdle = job !== undefined && !isFinalState(job.state) && job.tasks.every(task => !task.assignment);
            if (isIdle) {
                job.tasks.forEach(task => this.queue.remove(task.task));
                this.#saver.done(job.job);
                this.#finish(job, JobState.Expired, "its deadline passed while it waited", builder);
            }
        }
    }

    #forgetOld(builder: StepBuilder): void {
        const oldest = this.options.clock.now().getTime() - this.options.settings().retention;
        while (this.#finished.length > 0 && Date.parse(this.#finished[0].finishedAt ?? "") <= oldest) {
            builder.record({ kind: "forgotten", job: this.#finished.shift()!.job });
        }
    }
}

const isSameAttempt = (
    left: { task: TaskId; attempt: Attempt; },
    right: { task: TaskId; attempt: Attempt; },
): boolean => left.task === right.task && left.attempt === right.attempt;

const jobOfRecord = (record: ShardRecord): JobId | undefined => {
    if ("job" in record) {
        return record.job;
    }
    return "task" in record ? jobOfTask(record.task) : undefined;
};
