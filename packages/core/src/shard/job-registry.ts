/** State of all jobs of a shard. */
import { indexOfTask, type JobId, jobOfTask, type TaskId, taskIdOf } from "../ids/index.js";
import { ExecutionStatus, isFinalState, JobState } from "../jobs/index.js";
import { EndKind } from "../worker/index.js";
import { maxHistoryEntries } from "./constants.js";
import type { LeaseTerms } from "./lease-policy.js";
import type {
    EndedRecord,
    FinishedRecord,
    LostRecord,
    NotStartedRecord,
    ShardRecord,
    StartingRecord,
    SubmittedRecord,
    UnrepeatableEndedRecord,
} from "./records.js";
import { type JobEntry, type ShardSnapshot, type TaskEntry, TaskPhase, type UnrepeatableRequest } from "./types.js";

/**
 * Jobs by id and by their caller's key, and at-most-once live requests by key.
 *
 * The state changes only by applying records, so that replaying the journal restores it.
 */
export class JobRegistry {
    readonly jobs = new Map<JobId, JobEntry>();
    readonly unrepeatableRequests = new Map<string, UnrepeatableRequest>();
    /** Jobs whose submission is not committed yet. Volatile: a job that is restored from the journal is committed. */
    readonly uncommittedJobs = new Set<JobId>();
    /** The lease terms that were journaled last. */
    leaseTerms: LeaseTerms | undefined;
    readonly #jobsByKey = new Map<string, JobEntry>();

    findByKey(key: string): JobEntry | undefined {
        return this.#jobsByKey.get(key);
    }

    findTask(task: TaskId): TaskEntry | undefined {
        return this.jobs.get(jobOfTask(task))?.tasks[indexOfTask(task)];
    }

    /** Loads a snapshot into an empty registry. */
    restore(snapshot: ShardSnapshot): void {
        snapshot.jobs.forEach(job => this.#insert(structuredClone(job)));
        snapshot.once.forEach(entry => this.unrepeatableRequests.set(entry.key, { ...entry }));
        this.leaseTerms = snapshot.terms;
        for (const job of this.jobs.values()) {
            job.unkept = 0;
            job.tasks.forEach(resetVolatileState);
        }
    }

    /** Returns the state as plain data. It shares objects with the registry, so serialise it at once. */
    snapshot(): ShardSnapshot {
        return { jobs: [...this.jobs.values()], once: [...this.unrepeatableRequests.values()], terms: this.leaseTerms };
    }

    /** Applies one record. Records of attempts that are no longer current have no effect. */
    apply(record: ShardRecord): void {
        switch (record.kind) {
            case "submitted":
                return this.#applySubmitted(record);
            case "starting":
                return this.#applyStarting(record);
            case "not-started":
                return this.#applyNotStarted(record);
            case "ended":
                return this.#applyEnded(record);
            case "lost":
                return this.#applyLost(record);
            case "cancel":
                return this.#applyCancel(record.job, record.at);
            case "finished":
                return this.#applyFinished(record);
            case "forgotten":
                return this.#applyForgotten(record.job);
            case "terms":
                this.leaseTerms = record.terms;
                return;
            case "once-began":
                // Requests stay in the order of their times, in which they are forgotten.
                this.unrepeatableRequests.delete(record.key);
                this.unrepeatableRequests.set(record.key, {
                    key: record.key,
                    digest: record.digest,
                    nonce: record.nonce,
                    at: record.at,
                });
                return;
            case "once-ended":
                return this.#applyUnrepeatableEnded(record);
            case "once-forgotten":
                this.unrepeatableRequests.delete(record.key);
                return;
        }
    }

    #applyUnrepeatableEnded({ key, status }: UnrepeatableEndedRecord): void {
        const entry = this.unrepeatableRequests.get(key);
        if (status === undefined) {
            this.unrepeatableRequests.delete(key);
        }
        else if (entry !== undefined) {
            entry.status = status;
        }
    }

    #insert(job: JobEntry): void {
        this.jobs.set(job.job, job);
        this.#jobsByKey.set(job.key, job);
    }

    #applySubmitted(record: SubmittedRecord): void {
        const tasks: TaskEntry[] = [];
        for (let index = 0; index < record.submission.tasks; index++) {
            tasks.push({
                task: taskIdOf(record.job, index),
                phase: TaskPhase.Waiting,
                attempt: 0 as TaskEntry["attempt"],
                spent: 0,
                output: "",
            });
        }
        const job: JobEntry = {
            job: record.job,
            key: record.key,
            digest: record.digest,
            submission: record.submission,
            submittedAt: record.at,
            state: JobState.Queued,
            ran: ExecutionStatus.NotRun,
            reason: "waits for room",
            tasks,
            history: [],
            unkept: 0,
        };
        this.#insert(job);
        addHistory(job, record.at, "accepted", `${record.submission.class} of ${tasks.length} task(s)`);
    }

    #applyStarting(record: StartingRecord): void {
        const job = this.jobs.get(record.job);
        if (job === undefined) {
            return;
        }
        for (const placement of record.placements) {
            const task = job.tasks[indexOfTask(placement.task)];
            task.phase = TaskPhase.Starting;
            task.attempt = placement.attempt;
            task.assignment = {
                worker: placement.worker,
                incarnation: placement.incarnation,
                grant: placement.grant,
            };
            task.stopSent = undefined;
            task.confirmedAt = undefined;
            task.serviceAddress = undefined;
        }
        if (job.state === JobState.Queued) {
            job.state = JobState.Running;
        }
        job.reason = record.reason;
        const workers = record.placements.map(placement => placement.worker).join(", ");
        addHistory(job, record.at, `placed on ${workers}`, record.reason);
    }

    #applyNotStarted(record: NotStartedRecord): void {
        this.#endAttempt(record, task => {
            task.phase = TaskPhase.Waiting;
        }, "not started");
    }

    #applyEnded(record: EndedRecord): void {
        this.#endAttempt({ ...record, reason: record.end }, (task, job) => {
            job.ran = ExecutionStatus.Ran;
            task.isLost = undefined;
            task.end = record.end;
            if (record.end === EndKind.Succeeded) {
                task.phase = TaskPhase.Succeeded;
                task.output = record.output;
                return;
            }
            task.phase = record.isFinal ? TaskPhase.Failed : TaskPhase.Waiting;
            if (record.end === EndKind.Checkpointed) {
                task.checkpoint = record.output;
            }
            else {
                task.spent++;
                task.output = record.output;
            }
        }, "ended");
    }

    #applyLost(record: LostRecord): void {
        this.#endAttempt(record, (task, job) => {
            if (job.ran === ExecutionStatus.NotRun) {
                job.ran = ExecutionStatus.MayHaveRun;
            }
            task.phase = record.isFinal ? TaskPhase.Failed : TaskPhase.Waiting;
            task.isLost = true;
            task.spent++;
        }, "lost");
    }

    #endAttempt(
        record: NotStartedRecord | LostRecord | (EndedRecord & { reason: string; }),
        change: (task: TaskEntry, job: JobEntry) => void,
        decision: string,
    ): void {
        const job = this.jobs.get(jobOfTask(record.task));
        const task = job?.tasks[indexOfTask(record.task)];
        if (
            job === undefined || task === undefined || task.attempt !== record.attempt || task.assignment === undefined
        ) {
            return;
        }
        const worker = task.assignment.worker;
        task.assignment = undefined;
        task.serviceAddress = undefined;
        change(task, job);
        if (job.state === JobState.Running && job.tasks.every(other => other.phase === TaskPhase.Waiting)) {
            job.state = JobState.Queued;
            job.reason = `waits for room again: ${record.reason}`;
        }
        addHistory(job, record.at, `${decision}: task ${indexOfTask(record.task)} on ${worker}`, record.reason);
    }

    #applyCancel(id: JobId, at: string): void {
        const job = this.jobs.get(id);
        if (job !== undefined && !isFinalState(job.state)) {
            job.state = JobState.Cancelling;
            job.reason = "the caller cancelled it";
            addHistory(job, at, "cancelling", job.reason);
        }
    }

    #applyFinished(record: FinishedRecord): void {
        const job = this.jobs.get(record.job);
        if (job === undefined) {
            return;
        }
        job.state = record.state;
        job.ran = record.ran;
        job.reason = record.reason;
        job.finishedAt = record.at;
        for (const task of job.tasks) {
            if (task.phase === TaskPhase.Waiting) {
                task.phase = TaskPhase.Dropped;
            }
        }
        addHistory(job, record.at, record.state, record.reason);
    }

    #applyForgotten(id: JobId): void {
        const job = this.jobs.get(id);
        if (job !== undefined) {
            this.jobs.delete(id);
            this.#jobsByKey.delete(job.key);
        }
    }
}

const addHistory = (job: JobEntry, at: string, decision: string, reason: string): void => {
    job.history.push({ at, decision, reason });
    if (job.history.length > maxHistoryEntries) {
        job.history.splice(1, 1);
    }
};

/** Clears fields that only held for the former owner's clock and connections. */
const resetVolatileState = (task: TaskEntry): void => {
    task.confirmedAt = undefined;
    task.stopSent = undefined;
    task.serviceAddress = undefined;
    if (task.phase === TaskPhase.Running) {
        task.phase = TaskPhase.Starting;
    }
};
