/** State and effects of a shard's owner. */
import type { Attempt, Incarnation, JobId, TaskId, WorkerId } from "../ids/index.js";
import type { DecisionEntry, ExecutionStatus, JobState, JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { EndKind, StopMessage, ThrottleMessage } from "../worker/index.js";
import type { LeaseTerms } from "./lease-terms.js";
import type { ShardRecord } from "./records.js";

/** Phase of one task. */
export enum TaskPhase {
    /** In the queue, or backing off before it returns there. */
    Waiting = "waiting",
    /** Recorded at a worker that has not confirmed the start. */
    Starting = "starting",
    Running = "running",
    Succeeded = "succeeded",
    /** Will not be tried again. */
    Failed = "failed",
    /** Will not be run: the job ended first. */
    Dropped = "dropped",
}

/** Where an attempt is charged. */
export interface Assignment {
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    readonly grant: Resources;
}

/** One task of a job. Plain data: it is part of snapshots. */
export interface TaskEntry {
    readonly task: TaskId;
    phase: TaskPhase;
    attempt: Attempt;
    assignment?: Assignment;
    /** Attempts that failed or were lost after they may have run. */
    spent: number;
    end?: EndKind;
    /** Whether its last attempt was lost, so that it may have run. */
    isLost?: boolean;
    output: string;
    checkpoint?: string;
    serviceAddress?: string;
    /** When the worker confirmed the attempt, by the monotonic clock. Not part of the journal. */
    confirmedAt?: Milliseconds;
    stopSent?: boolean;
}

/** One job. Plain data: it is part of snapshots. */
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
    /** Records of this job that are not yet kept in the journal. Not part of the journal. */
    unkept: number;
    finishedAt?: string;
}

/** An unrepeatable live request. */
export interface UnrepeatableRequest {
    readonly key: string;
    readonly digest: string;
    /** The send that may go out. */
    readonly nonce: string;
    readonly at: string;
    /** Status of its answer, once there is one. */
    status?: number;
}

/** What is to be done once the records of the same step are kept. */
export type Effect =
    | { readonly kind: "start"; readonly worker: WorkerId; readonly task: TaskId; readonly attempt: Attempt; }
    | { readonly kind: "stop"; readonly worker: WorkerId; readonly message: StopMessage; }
    | { readonly kind: "throttle"; readonly worker: WorkerId; readonly message: ThrottleMessage; }
    | { readonly kind: "job-changed"; readonly job: JobId; };

/** Result of one input: records to keep, then effects to carry out. */
export interface Transition {
    readonly records: readonly ShardRecord[];
    readonly effects: readonly Effect[];
}

/** State of a shard as snapshots hold it. */
export interface ShardSnapshot {
    readonly jobs: readonly JobEntry[];
    readonly once: readonly UnrepeatableRequest[];
    readonly terms: LeaseTerms | undefined;
}

/** Why a submission was refused; the job was not run and never will be. */
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
    /** When coming back makes sense. */
    readonly retryAfter?: Milliseconds;
}

/** Answer to a submission. */
export type SubmitOutcome =
    | { readonly kind: "accepted"; readonly job: JobId; readonly repeated: boolean; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };
