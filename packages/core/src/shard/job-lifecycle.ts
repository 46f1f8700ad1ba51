/** Lifecycle of jobs from acceptance to their final state. */
import TinyQueue from "tinyqueue";
import { type JobId, jobOfTask } from "../ids/index.js";
import { isFinalState, JobState, WorkloadClass } from "../jobs/index.js";
import { policyOf } from "../placement/index.js";
import { type Resources, resourcesKey } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { EndKind, StopMode } from "../worker/index.js";
import { minUnansweredRetention } from "./constants.js";
import { finalStateOf, isEnding } from "./job-view.js";
import { type PendingUnit } from "./pending-queue.js";
import { sizeOf } from "./size.js";
import { TransitionBuilder } from "./transition-builder.js";
import { type JobEntry, type TaskEntry, TaskPhase } from "./types.js";
import { type WorkerEntry } from "./worker-table.js";

import type { ShardContext } from "./shard-context.js";

interface Deadline {
    readonly at: number;
    readonly job: JobId;
}

interface DelayedUnit {
    readonly at: Milliseconds;
    readonly unit: PendingUnit;
}

/** When a job finished, in milliseconds since 1970. */
const finishTime = ({ finishedAt }: JobEntry): number => Date.parse(finishedAt ?? "");

/** Queues, retries, stops and finishes jobs, and enforces deadlines and retention. */
export class JobLifecycle {
    readonly #deadlines = new TinyQueue<Deadline>([], (left, right) => left.at - right.at);
    readonly #delayed = new TinyQueue<DelayedUnit>([], (left, right) => left.at - right.at);
    readonly #finished = new TinyQueue<JobEntry>([], (left, right) => finishTime(left) - finishTime(right));
    #nextSequence = 1;

    constructor(private readonly context: ShardContext) {}

    /** Sequence number of the next queued unit. Changes whenever a unit is queued. */
    get nextSequence(): number {
        return this.#nextSequence;
    }

    /** Resumes a job that was restored from the journal. */
    recover(job: JobEntry): void {
        if (isFinalState(job.state)) {
            this.#finished.push(job);
            return;
        }
        this.watchDeadline(job);
        this.context.services.add(job);
        const isReady = job.submission.class !== WorkloadClass.Gang
            || job.tasks.every(task => task.phase === TaskPhase.Waiting);
        if (isReady && !isEnding(job)) {
            this.enqueue(job, job.tasks.filter(task => task.phase === TaskPhase.Waiting));
        }
    }

    /** Queues units whose retry delay is over. */
    requeueDelayed(now: Milliseconds): void {
        while (this.#delayed.length > 0 && this.#delayed.peek()!.at <= now) {
            this.#requeue(this.#delayed.pop()!.unit);
        }
    }

    watchDeadline(job: JobEntry): void {
        const { deadlineMilliseconds } = job.submission;
        if (deadlineMilliseconds !== undefined) {
            this.#deadlines.push({ at: Date.parse(job.submittedAt) + deadlineMilliseconds, job: job.job });
        }
    }

    /** Queues tasks of a job. A gang is always queued as a whole. */
    enqueue(job: JobEntry, tasks: readonly TaskEntry[]): void {
        this.#unitsOf(job, tasks, this.context.now()).forEach(unit => this.context.queue.add(unit));
    }

    /** Groups tasks into units that are placed together: a whole gang, or single tasks. */
    #unitsOf(
        { job, submission, tasks: all }: JobEntry,
        tasks: readonly TaskEntry[],
        since: Milliseconds,
    ): PendingUnit[] {
        const size = sizeOf(submission);
        const { priority } = submission;
        const groups = policyOf(submission.class).allOrNothing ? [all] : tasks.map(task => [task]);
        const commonKey = `${submission.class}|${submission.team}|${resourcesKey(size)}`;
        return groups.map(group => ({
            job,
            tasks: group.map(task => task.task),
            size,
            priority,
            equivalenceKey: group.length === 1 ? commonKey : `${commonKey}|${group.length}`,
            sequence: this.#nextSequence++,
            since,
        }));
    }

    /** Queues a unit behind those already waiting, unless its job is ending. */
    #requeue(unit: PendingUnit): void {
        const job = this.context.registry.jobs.get(unit.job);
        if (job !== undefined && !isEnding(job)) {
            this.context.queue.add({ ...unit, sequence: this.#nextSequence++ });
        }
    }

    /** Whether this end of an attempt leaves the task without a further attempt. */
    isFinalEnd(job: JobEntry, task: TaskEntry, kind: EndKind): boolean {
        if (kind === EndKind.Succeeded || kind === EndKind.Checkpointed) {
            return false;
        }
        if (job.submission.class === WorkloadClass.Service) {
            return false;
        }
        if (kind === EndKind.Stopped && !isEnding(job) && job.submission.class === WorkloadClass.Gang) {
            return false;
        }
        return this.#isLastAttempt(job, task);
    }

    /** Whether the current attempt is the task's last once it has run or was lost. */
    #isLastAttempt({ submission }: JobEntry, task: TaskEntry): boolean {
        return submission.unrepeatable
            || task.spent + 1 > this.context.options.settings(submission.class).retryAttempts;
    }

    /** Records that an attempt did not run and cannot start any more. */
    recordNotStarted(task: TaskEntry, reason: string, builder: TransitionBuilder): void {
        this.#endAttempt(task, () => {
            builder.record({
                kind: "not-started",
                at: this.context.timestamp(),
                task: task.task,
                attempt: task.attempt,
                reason,
            });
        }, builder);
    }

    /** Records that an attempt is no longer running and may have run. */
    recordLost(task: TaskEntry, reason: string, builder: TransitionBuilder): void {
        const job = this.context.jobOf(jobOfTask(task.task));
        const isFinal = job.submission.class !== WorkloadClass.Service && this.#isLastAttempt(job, task);
        this.#endAttempt(task, () => {
            builder.record({
                kind: "lost",
                at: this.context.timestamp(),
                task: task.task,
                attempt: task.attempt,
                reason,
                isFinal,
            });
        }, builder);
    }

    #endAttempt(task: TaskEntry, record: () => void, builder: TransitionBuilder): void {
        const { assignment } = task;
        if (assignment === undefined) {
            return;
        }
        record();
        const entry = this.context.workers.get(assignment.worker);
        if (entry !== undefined) {
            this.releaseResources(task, entry, assignment.grant);
        }
        this.onAttemptEnded(this.context.jobOf(jobOfTask(task.task)), task, builder);
    }

    /** Returns an attempt's resources to its worker and its team. */
    releaseResources(task: TaskEntry, entry: WorkerEntry, grant: Resources): void {
        if (entry.tasks.has(task.task)) {
            this.context.workers.release(entry, task, grant);
            this.context.teamUsage.release(this.context.teamOf(task), grant);
        }
    }

    /** Records all attempts at a worker as lost. */
    recordAllLost(entry: WorkerEntry, reason: string, builder: TransitionBuilder): void {
        for (const task of [...entry.tasks.values()]) {
            this.recordLost(task, reason, builder);
        }
    }

    /** Continues a job after one of its attempts ended: finishes it, retries the task, or restarts the whole gang. */
    onAttemptEnded(job: JobEntry, task: TaskEntry, builder: TransitionBuilder): void {
        builder.jobChanged(job.job);
        if (isEnding(job) || job.tasks.every(other => other.phase === TaskPhase.Succeeded)) {
            this.endJob(job, builder);
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
        assigned.forEach(other => this.stop(other, StopMode.Stop, builder));
        if (assigned.length === 0) {
            this.#retry(job, job.tasks, Math.max(...job.tasks.map(other => other.spent)));
        }
    }

    #retry(job: JobEntry, tasks: readonly TaskEntry[], spent: number): void {
        if (spent === 0) {
            this.enqueue(job, tasks);
            return;
        }
        const { retryDelay } = this.context.options.settings(job.submission.class);
        const delay = retryDelay * 2 ** Math.min(spent - 1, 6) * (0.5 + this.context.options.random.next());
        const at = this.context.now() + delay;
        this.#unitsOf(job, tasks, at).forEach(unit => this.#delayed.push({ at, unit }));
    }

    /** Ends a job: removes its tasks from the queue, stops running ones, and finishes it once none is left. */
    endJob(job: JobEntry, builder: TransitionBuilder): void {
        job.tasks.forEach(task => this.context.queue.remove(task.task));
        this.context.gangReservation.release(job.job);
        const assigned = job.tasks.filter(task => task.assignment !== undefined);
        if (assigned.length > 0) {
            assigned.filter(task => task.phase === TaskPhase.Running)
                .forEach(task => this.stop(task, StopMode.Stop, builder));
            return;
        }
        const { state, reason } = finalStateOf(job);
        this.#finish(job, state, reason, builder);
    }

    #finish(job: JobEntry, state: JobState, reason: string, builder: TransitionBuilder): void {
        if (isFinalState(job.state)) {
            return;
        }
        builder.record({ kind: "finished", at: this.context.timestamp(), job: job.job, state, ran: job.ran, reason });
        builder.jobChanged(job.job);
        this.#finished.push(job);
        this.context.health.forgetJob(job.job);
        this.context.services.remove(job);
    }

    /** Asks the worker to stop a task's current attempt. Sent at most once per attempt. */
    stop(task: TaskEntry, mode: StopMode, builder: TransitionBuilder): void {
        const { assignment } = task;
        if (assignment === undefined || task.stopSent === true) {
            return;
        }
        task.stopSent = true;
        const { shard, epoch } = this.context.options;
        builder.effect({
            kind: "stop",
            worker: assignment.worker,
            message: { shard, epoch, task: task.task, attempt: task.attempt, mode },
        });
    }

    /** Stops a task whose start was confirmed after its job ended or another member of its gang stopped. */
    stopIfUnwanted(task: TaskEntry, builder: TransitionBuilder): void {
        const job = this.context.jobOf(jobOfTask(task.task));
        const isBrokenGang = job.submission.class === WorkloadClass.Gang
            && job.tasks.some(other => other.phase === TaskPhase.Waiting);
        if (isEnding(job) || isBrokenGang) {
            this.stop(task, StopMode.Stop, builder);
        }
    }

    /** Expires jobs that are past their deadline and have no task assigned. */
    expireOverdue(builder: TransitionBuilder): void {
        const now = this.context.options.clock.now().getTime();
        while (this.#deadlines.length > 0 && this.#deadlines.peek()!.at <= now) {
            const job = this.context.registry.jobs.get(this.#deadlines.pop()!.job);
            const isIdle = job !== undefined && !isFinalState(job.state) && job.tasks.every(task => !task.assignment);
            if (isIdle) {
                job.tasks.forEach(task => this.context.queue.remove(task.task));
                this.context.gangReservation.release(job.job);
                this.#finish(job, JobState.Expired, "its deadline passed while it waited", builder);
            }
        }
    }

    /** Removes finished jobs and at-most-once live requests whose retention period is over. */
    purgeExpired(builder: TransitionBuilder): void {
        const cutoff = this.context.options.clock.now().getTime() - this.context.options.settings().retention;
        while (this.#finished.length > 0 && finishTime(this.#finished.peek()!) <= cutoff) {
            builder.record({ kind: "forgotten", job: this.#finished.pop()!.job });
        }
        const unansweredCutoff = Math.min(cutoff, this.context.options.clock.now().getTime() - minUnansweredRetention);
        for (const { key, at, status } of this.context.registry.unrepeatableRequests.values()) {
            const begunAt = Date.parse(at);
            if (begunAt > cutoff) {
                break;
            }
            if (status !== undefined || begunAt <= unansweredCutoff) {
                builder.record({ kind: "once-forgotten", key });
            }
        }
    }
}
