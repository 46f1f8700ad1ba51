/** Handling of worker reports and of the platform's list of VMs. */
import { type Attempt, jobOfTask, type TaskId, type WorkerId } from "../ids/index.js";
import { ExecutionStatus } from "../jobs/index.js";
import type { Milliseconds } from "../time/index.js";
import type { ListedWorker } from "../vm-list/index.js";
import {
    type EndedTask,
    EndKind,
    type HeartbeatMessage,
    type RunningTask,
    StopMode,
    type WorkerReport,
} from "../worker/index.js";
import { emptyTransition, TransitionBuilder } from "./transition-builder.js";
import { type JobEntry, type TaskEntry, TaskPhase, type Transition } from "./types.js";
import { isLeaving, type WorkerEntry } from "./worker-table.js";

import type { JobLifecycle } from "./job-lifecycle.js";
import type { ShardContext } from "./shard-context.js";

/**
 * Reconciles the shard's state with what workers and the platform report: claims, heartbeats, ended tasks, and workers that
 * are leaving, silent or gone.
 */
export class WorkerController {
    /** Recovered tasks whose worker has not been listed yet. */
    readonly #awaitingListing = new Set<TaskEntry>();
    #hasWorkerList = false;

    constructor(private readonly context: ShardContext, private readonly jobs: JobLifecycle) {}

    /** Whether the list of VMs has been read. Before that no worker is known. */
    get hasWorkerList(): boolean {
        return this.#hasWorkerList;
    }

    /** Updates which workers are schedulable, and records the tasks of silent workers as lost once all leases there expired. */
    expireSilent(now: Milliseconds, silentAfter: Milliseconds, builder: TransitionBuilder): void {
        for (const entry of this.context.workers.values()) {
            this.context.updateSchedulable(entry);
            // A worker that answers reports its tasks itself; an old expiry then only means that it was idle.
            const isSilent = now - entry.lastAnswerAt > silentAfter;
            if (entry.tasks.size > 0 && isSilent && now > entry.leasesExpireAt) {
                this.jobs.recordAllLost(entry, "its worker was silent until every lease there had lapsed", builder);
            }
        }
    }

    /** Resumes the assigned tasks of a job that was restored from the journal. */
    recover(job: JobEntry): void {
        job.tasks.filter(task => task.assignment !== undefined).forEach(task => this.#awaitingListing.add(task));
    }

    /** Applies the platform's list of VMs, limited to those of this shard. */
    applyWorkerList(listed: readonly ListedWorker[]): Transition {
        const builder = this.context.beginTransition();
        const now = this.context.now();
        const names = new Set(listed.map(worker => worker.worker));
        for (const worker of listed) {
            const entry = this.context.workers.get(worker.worker);
            if (entry === undefined) {
                this.context.workers.add(worker, this.context.formerLeasesExpireAt());
            }
            else {
                entry.listed = worker;
                this.context.updateSchedulable(entry);
            }
        }
        this.#hasWorkerList = true;
        this.#chargeRecovered(builder);
        for (const entry of [...this.context.workers.values()]) {
            entry.unlistedSince = names.has(entry.worker) ? undefined : entry.unlistedSince ?? now;
            if (this.#isGone(entry, now)) {
                this.jobs.recordAllLost(entry, "the platform no longer lists its VM", builder);
                this.context.workers.remove(entry);
                this.context.health.forgetWorker(entry.worker);
            }
            else if (isLeaving(entry)) {
                this.#drain(entry, builder);
            }
        }
        return builder.build();
    }

    /**
     * Whether a worker is gone for good: silent, and unlisted for longer than any lease if it has tasks. A single reading is not
     * enough, as the list lags and may lack a VM that runs tasks.
     */
    #isGone(entry: WorkerEntry, now: Milliseconds): boolean {
        const { unlistedSince } = entry;
        if (unlistedSince === undefined) {
            return false;
        }
        const isSilent = now - entry.lastAnswerAt > this.context.options.settings().silentAfter;
        return isSilent && (entry.tasks.size === 0 || now - unlistedSince > this.context.maxLeaseDuration());
    }

    /** Charges recovered tasks to workers that have been listed; records the others as lost after the longest lease. */
    #chargeRecovered(builder: TransitionBuilder): void {
        const isOverdue = this.context.now() - this.context.openedAt > this.context.maxLeaseDuration();
        for (const task of [...this.#awaitingListing]) {
            const { assignment } = task;
            const entry = assignment === undefined ? undefined : this.context.workers.get(assignment.worker);
            if (assignment !== undefined && entry !== undefined) {
                this.context.workers.charge(entry, task, assignment.grant);
                this.context.teamUsage.charge(this.context.teamOf(task), assignment.grant);
            }
            else if (assignment !== undefined && !isOverdue) {
                continue;
            }
            this.#awaitingListing.delete(task);
            if (entry === undefined) {
                this.jobs.recordLost(task, "the platform does not list its VM", builder);
            }
        }
    }

    /** Applies the report of a worker that has accepted this owner's epoch. `sentAt`: when the claim was sent. */
    claimAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Transition {
        const entry = this.context.workers.get(worker);
        if (entry === undefined) {
            return emptyTransition;
        }
        const builder = this.context.beginTransition();
        for (const task of [...entry.tasks.values()]) {
            const isKnown = [...report.running, ...report.ended].some(other => isSameAttempt(other, task));
            if (!isKnown && task.assignment?.incarnation === report.incarnation) {
                // The worker now rejects the former owner, so a start that has not arrived yet will be refused.
                this.jobs.recordNotStarted(task, "the start never reached the worker", builder);
            }
        }
        entry.incarnation = report.incarnation;
        this.#applyReport(entry, report, sentAt, builder);
        // The former owner can no longer renew leases here, so all of them expire within one lease duration.
        const { leaseDuration, leaseMargin } = this.context.leasePolicy.formerTerms();
        entry.leasesExpireAt = this.context.now() + leaseDuration + leaseMargin;
        return builder.build();
    }

    /** Creates the next heartbeat for a worker, or returns undefined when the worker must be claimed first. */
    nextHeartbeat(worker: WorkerId, wait: Milliseconds): HeartbeatMessage | undefined {
        const entry = this.context.workers.get(worker);
        if (entry?.incarnation === undefined) {
            return undefined;
        }
        const renewed = this.context.mayGrantLeases()
            ? [...entry.tasks.values()].filter(task => task.stopSent !== true && task.confirmedAt !== undefined)
            : [];
        if (renewed.length > 0) {
            this.context.recordLeaseGrant(entry);
        }
        const acknowledged = entry.pendingAcknowledgements;
        entry.pendingAcknowledgements = [];
        return {
            shard: this.context.options.shard,
            epoch: this.context.options.epoch,
            number: entry.reportNumber,
            renewals: renewed.map(task => ({ task: task.task, attempt: task.attempt })),
            acknowledged,
            lease: this.context.leasePolicy.currentTerms(this.context.options.settings()).leaseDuration,
            wait,
        };
    }

    /** Queues the acknowledgements of an unanswered heartbeat again. */
    heartbeatFailed(worker: WorkerId, message: HeartbeatMessage): void {
        this.context.workers.get(worker)?.pendingAcknowledgements.push(...message.acknowledged);
    }

    /** Applies the report that answers a heartbeat. `sentAt`: when the heartbeat was sent. */
    heartbeatAnswered(worker: WorkerId, report: WorkerReport, sentAt: Milliseconds): Transition {
        const entry = this.context.workers.get(worker);
        if (entry === undefined) {
            return emptyTransition;
        }
        const builder = this.context.beginTransition();
        entry.incarnation = report.incarnation;
        this.#applyReport(entry, report, sentAt, builder);
        return builder.build();
    }

    #applyReport(entry: WorkerEntry, report: WorkerReport, sentAt: Milliseconds, builder: TransitionBuilder): void {
        entry.reportNumber = report.number;
        entry.lastAnswerAt = this.context.now();
        entry.reportedLeaving = report.leaving;
        const running = new Map(report.running.map(task => [task.task, task]));
        report.ended.forEach(ended => this.#applyEnd(entry, ended, builder));
        for (const task of [...entry.tasks.values()]) {
            this.#reconcileTask(task, running.get(task.task), report, sentAt, builder);
        }
        entry.unknownAttempts = this.#stopUnknownAttempts(entry, report, builder);
        if (report.leaving) {
            this.#drain(entry, builder);
        }
        this.context.updateSchedulable(entry);
    }

    /** Throttles a task that uses more processors than granted, to protect other tasks on the worker. */
    #throttleIfOverGrant(task: TaskEntry, running: RunningTask, builder: TransitionBuilder): void {
        const { assignment } = task;
        const granted = assignment?.grant.processorThousandths ?? Infinity;
        if (assignment === undefined || running.usage.processorThousandths <= granted) {
            return;
        }
        const { shard, epoch } = this.context.options;
        builder.effect({
            kind: "throttle",
            worker: assignment.worker,
            message: { shard, epoch, task: task.task, attempt: task.attempt, processorThousandths: granted },
        });
    }

    #reconcileTask(
        task: TaskEntry,
        running: RunningTask | undefined,
        report: WorkerReport,
        sentAt: Milliseconds,
        builder: TransitionBuilder,
    ): void {
        if (running !== undefined && running.attempt === task.attempt) {
            if (task.phase === TaskPhase.Starting || task.serviceAddress !== running.serviceAddress) {
                this.markRunning(task, running);
                builder.jobChanged(jobOfTask(task.task));
            }
            this.jobs.stopIfUnwanted(task, builder);
            this.#throttleIfOverGrant(task, running, builder);
            return;
        }
        const isRestarted = task.assignment?.incarnation !== report.incarnation;
        if (isRestarted) {
            this.jobs.recordLost(task, "its worker was restarted", builder);
        }
        else if (task.confirmedAt !== undefined && sentAt > task.confirmedAt) {
            this.jobs.recordLost(task, "its worker no longer knows it", builder);
        }
    }

    markRunning(task: TaskEntry, running: RunningTask): void {
        task.phase = TaskPhase.Running;
        task.confirmedAt = this.context.now();
        task.serviceAddress = running.serviceAddress;
        this.context.jobOf(jobOfTask(task.task)).ran = ExecutionStatus.Ran;
    }

    #applyEnd(entry: WorkerEntry, ended: EndedTask, builder: TransitionBuilder): void {
        const task = this.context.registry.findTask(ended.task);
        if (task === undefined || task.attempt !== ended.attempt || task.assignment?.worker !== entry.worker) {
            // Acknowledged only once its record is committed. If the worker dropped the end before that, the next owner would
            // conclude that the start had never arrived and run the task again.
            if ((this.context.registry.jobs.get(jobOfTask(ended.task))?.unkept ?? 0) === 0) {
                entry.pendingAcknowledgements.push({ task: ended.task, attempt: ended.attempt });
            }
            return;
        }
        const job = this.context.jobOf(jobOfTask(ended.task));
        const kind = this.#checkedEnd(ended);
        this.#recordHealth(entry, job, kind);
        const { assignment } = task;
        const isFinal = this.jobs.isFinalEnd(job, task, kind);
        const output = kind === ended.kind ? ended.output : "the result is larger than the settings allow";
        builder.record({
            kind: "ended",
            at: this.context.timestamp(),
            task: ended.task,
            attempt: ended.attempt,
            worker: entry.worker,
            end: kind,
            output,
            isFinal,
        });
        this.jobs.releaseResources(task, entry, assignment.grant);
        this.jobs.onAttemptEnded(job, task, builder);
    }

    /** A result over the size limit counts as a failure, as a truncated one would be wrong. */
    #checkedEnd(ended: EndedTask): EndKind {
        const isTooLarge = Buffer.byteLength(ended.output) > this.context.options.settings().resultBytes;
        return isTooLarge && ended.kind === EndKind.Succeeded ? EndKind.Failed : ended.kind;
    }

    #recordHealth(entry: WorkerEntry, job: JobEntry, kind: EndKind): void {
        if (kind === EndKind.Succeeded) {
            this.context.health.recordSuccess(entry.worker, job.job);
        }
        else if (kind === EndKind.Failed && this.context.health.recordFailure(entry.worker, job.job)) {
            this.#quarantine(entry);
        }
    }

    #quarantine(entry: WorkerEntry): void {
        const now = this.context.now();
        const { quarantineShare, quarantineDuration } = this.context.options.settings();
        const quarantined = [...this.context.workers.values()].filter(other => other.quarantinedUntil > now).length;
        if (quarantined + 1 > this.context.workers.size * quarantineShare) {
            return;
        }
        const count = this.context.health.beginQuarantine(entry.worker);
        entry.quarantinedUntil = now + quarantineDuration * 2 ** Math.min(count - 1, 6);
        this.context.updateSchedulable(entry);
    }

    #stopUnknownAttempts(entry: WorkerEntry, report: WorkerReport, builder: TransitionBuilder): number {
        const { shard, epoch } = this.context.options;
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

    /** Stops repeatable tasks on a leaving worker so that they move elsewhere. Unrepeatable tasks run to their end. */
    #drain(entry: WorkerEntry, builder: TransitionBuilder): void {
        this.context.updateSchedulable(entry);
        for (const task of entry.tasks.values()) {
            const job = this.context.jobOf(jobOfTask(task.task));
            if (task.phase !== TaskPhase.Running || job.submission.unrepeatable || task.stopSent === true) {
                continue;
            }
            const { service } = job.submission;
            const isServing = service !== undefined && this.context.services.hasGrants(service, task.task);
            if (!isServing) {
                this.jobs.stop(task, service === undefined ? StopMode.Checkpoint : StopMode.Stop, builder);
            }
        }
    }
}

const isSameAttempt = (
    left: { task: TaskId; attempt: Attempt; },
    right: { task: TaskId; attempt: Attempt; },
): boolean => left.task === right.task && left.attempt === right.attempt;
