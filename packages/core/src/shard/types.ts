/** State of a shard, and the transitions that inputs cause. */
import type { Attempt, Incarnation, JobId, TaskId, WorkerId } from "../ids/index.js";
import type { DecisionEntry, ExecutionStatus, JobState, JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { EndKind, StopMessage, ThrottleMessage } from "../worker/index.js";
import type { LeaseTerms } from "./lease-policy.js";
import type { ShardRecord } from "./records.js";

/** Lifecycle phase of a task. */
export enum TaskPhase {
    /** In the queue, or backing off before a retry. */
    Waiting = "waiting",
    /** Assigned to a worker that has not confirmed the start. */
    Starting = "starting",
    Running = "running",
    Succeeded = "succeeded",
    /** Failed or lost, with no attempts left. */
    Failed = "failed",
    /** The job ended before the task was run. */
    Dropped = "dropped",
}

/** The worker that an attempt is assigned to, and the resources reserved there. */
export interface Assignment {
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    readonly grant: Resources;
}

/** Task state. Plain data, serialised in snapshots. */
export interface TaskEntry {
    readonly task: TaskId;
    phase: TaskPhase;
    attempt: Attempt;
    assignment?: Assignment;
    /** Attempts that failed, or were lost after they may have run. */
    spent: number;
    end?: EndKind;
    /** Whether the last attempt was lost, so that it may have run. */
    isLost?: boolean;
    output: string;
    checkpoint?: string;
    serviceAddress?: string;
    /** When the worker confirmed the attempt, on the monotonic clock. Cleared when a snapshot is restored. */
    confirmedAt?: Milliseconds;
    stopSent?: boolean;
}

/** Job state. Plain data, serialised in snapshots. */
export interface JobEntry {
    readonly job: JobId;
    readonly key: string;
    readonly digest: string;
    readonly submission: JobSubmission;
    readonly submittedAt: string;
    state: JobState;
    ran: ExecutionStatus;
    reason: string;
    readonly tasks: TaskEntry[];
    readonly history: DecisionEntry[];
    /** Number of records of this job that the journal has not committed yet. Reset when a snapshot is restored. */
    unkept: number;
    finishedAt?: string;
}

/** A live request that must be sent at most once. */
export interface UnrepeatableRequest {
    readonly key: string;
    readonly digest: string;
    /** Identifies the one send that is allowed. */
    readonly nonce: string;
    readonly at: string;
    /** HTTP status of the response, once there is one. */
    status?: number;
}

/** A side effect, carried out once the records of the same transition are committed. */
export type Effect =
    | { readonly kind: "start"; readonly worker: WorkerId; readonly task: TaskId; readonly attempt: Attempt; }
    | { readonly kind: "stop"; readonly worker: WorkerId; readonly message: StopMessage; }
    | { readonly kind: "throttle"; readonly worker: WorkerId; readonly message: ThrottleMessage; }
    | { readonly kind: "job-changed"; readonly job: JobId; };

/** Result of one input: records to commit, then effects to carry out. */
export interface Transition {
    readonly records: readonly ShardRecord[];
    readonly effects: readonly Effect[];
}

/** Serialised state of a shard. */
export interface ShardSnapshot {
    readonly jobs: readonly JobEntry[];
    readonly once: readonly UnrepeatableRequest[];
    readonly terms: LeaseTerms | undefined;
}

/** Why a submission was refused. A refused job has not run and never will. */
export interface Refusal {
    readonly error:
        | "fits-nowhere"
        | "queue-full"
        | "deadline-cannot-be-met"
        | "key-reused"
        | "quota-too-small"
        | "no-workers"
        | "journal-stalled";
    readonly reason: string;
    /** Suggested delay before the caller tries again. */
    readonly retryAfter?: Milliseconds;
}

/** Result of a submission. `repeated` means that a job with the same key and body was accepted before. */
export type SubmitOutcome =
    | { readonly kind: "accepted"; readonly job: JobId; readonly repeated: boolean; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };
