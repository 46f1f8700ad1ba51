/** Journal records of a shard. Replaying them in order rebuilds the state of all jobs. */
import { type Attempt, type Incarnation, type JobId, jobOfTask, type TaskId, type WorkerId } from "../ids/index.js";
import type { ExecutionStatus, JobState, JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";
import type { EndKind } from "../worker/index.js";
import type { LeaseTerms } from "./lease-policy.js";

/** Assignment of one task to one worker. The start request is sent only once this is committed. */
export interface RecordedPlacement {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    readonly grant: Resources;
}

/** Written when a job is accepted. */
export interface SubmittedRecord {
    readonly kind: "submitted";
    readonly at: string;
    readonly job: JobId;
    readonly key: string;
    readonly digest: string;
    readonly submission: JobSubmission;
}

/** Written when tasks of a job are placed on workers. */
export interface StartingRecord {
    readonly kind: "starting";
    readonly at: string;
    readonly job: JobId;
    readonly placements: readonly RecordedPlacement[];
    readonly reason: string;
}

/** Written when an attempt is known not to have run and can no longer start. */
export interface NotStartedRecord {
    readonly kind: "not-started";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly reason: string;
}

/** Written when a worker reports the end of an attempt. */
export interface EndedRecord {
    readonly kind: "ended";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly worker: WorkerId;
    readonly end: EndKind;
    readonly output: string;
    /** Whether the task is out of attempts. */
    readonly isFinal: boolean;
}

/** Written when an attempt can no longer be running and it is unknown whether it ran. */
export interface LostRecord {
    readonly kind: "lost";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly reason: string;
    /** Whether the task is out of attempts. */
    readonly isFinal: boolean;
}

/** Written when the caller cancels a job. */
export interface CancelRecord {
    readonly kind: "cancel";
    readonly at: string;
    readonly job: JobId;
}

/** Written when a job reaches its final state. */
export interface FinishedRecord {
    readonly kind: "finished";
    readonly at: string;
    readonly job: JobId;
    readonly state: JobState;
    readonly ran: ExecutionStatus;
    readonly reason: string;
}

/** Written when a finished job is removed at the end of its retention period. */
export interface ForgottenRecord {
    readonly kind: "forgotten";
    readonly job: JobId;
}

/** Written before an at-most-once live request is sent. */
export interface UnrepeatableBeganRecord {
    readonly kind: "once-began";
    readonly at: string;
    readonly key: string;
    readonly digest: string;
    /** Distinguishes this send from other sends with the same key. */
    readonly nonce: string;
}

/** Written when an at-most-once live request was answered, or is known not to have run. */
export interface UnrepeatableEndedRecord {
    readonly kind: "once-ended";
    readonly at: string;
    readonly key: string;
    /** HTTP status of the response. Undefined when the request was not run, which frees its key. */
    readonly status?: number;
}

/** Written when an at-most-once live request is removed at the end of its retention period. */
export interface UnrepeatableForgottenRecord {
    readonly kind: "once-forgotten";
    readonly key: string;
}

/** Written before the owner grants leases under new terms. */
export interface LeaseTermsRecord {
    readonly kind: "terms";
    readonly terms: LeaseTerms;
}

/** Union of all journal records of a shard, discriminated by `kind`. */
export type ShardRecord =
    | SubmittedRecord
    | StartingRecord
    | NotStartedRecord
    | EndedRecord
    | LostRecord
    | CancelRecord
    | FinishedRecord
    | ForgottenRecord
    | UnrepeatableBeganRecord
    | UnrepeatableEndedRecord
    | UnrepeatableForgottenRecord
    | LeaseTermsRecord;

/** Returns the job that a record belongs to; undefined for records of the shard as a whole. */
export const jobOfRecord = (record: ShardRecord): JobId | undefined => {
    if ("job" in record) {
        return record.job;
    }
    return "task" in record ? jobOfTask(record.task) : undefined;
};
