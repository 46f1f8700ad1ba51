/** Records of a shard's journal. Applying them in order gives the state of all jobs. */
import { type Attempt, type Incarnation, type JobId, jobOfTask, type TaskId, type WorkerId } from "../ids/index.js";
import type { ExecutionStatus, JobState, JobSubmission } from "../jobs/index.js";
import type { Resources } from "../resources/index.js";
import type { EndKind } from "../worker/index.js";
import type { LeaseTerms } from "./lease-terms.js";

/** One task given to one worker; the start is sent only once this is kept. */
export interface RecordedPlacement {
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    readonly grant: Resources;
}

/** A job was accepted. */
export interface SubmittedRecord {
    readonly kind: "submitted";
    readonly at: string;
    readonly job: JobId;
    readonly key: string;
    readonly digest: string;
    readonly submission: JobSubmission;
}

/** Tasks of a job were placed. */
export interface StartingRecord {
    readonly kind: "starting";
    readonly at: string;
    readonly job: JobId;
    readonly placements: readonly RecordedPlacement[];
    readonly reason: string;
}

/** An attempt is known not to have run and never to run. */
export interface NotStartedRecord {
    readonly kind: "not-started";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly reason: string;
}

/** An attempt ended and its worker said how. */
export interface EndedRecord {
    readonly kind: "ended";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly worker: WorkerId;
    readonly end: EndKind;
    readonly output: string;
    /** Whether the task will not be tried again. */
    readonly isFinal: boolean;
}

/** An attempt can no longer be running, and whether it ran is not known. */
export interface LostRecord {
    readonly kind: "lost";
    readonly at: string;
    readonly task: TaskId;
    readonly attempt: Attempt;
    readonly reason: string;
    /** Whether the task will not be tried again. */
    readonly isFinal: boolean;
}

/** The caller wants the job ended. */
export interface CancelRecord {
    readonly kind: "cancel";
    readonly at: string;
    readonly job: JobId;
}

/** The job has its final answer. */
export interface FinishedRecord {
    readonly kind: "finished";
    readonly at: string;
    readonly job: JobId;
    readonly state: JobState;
    readonly ran: ExecutionStatus;
    readonly reason: string;
}

/** The job's retention is over. */
export interface ForgottenRecord {
    readonly kind: "forgotten";
    readonly job: JobId;
}

/** An unrepeatable live request is about to be sent. */
export interface UnrepeatableBeganRecord {
    readonly kind: "once-began";
    readonly at: string;
    readonly key: string;
    readonly digest: string;
    /** Tells the send that this record is for from every other of the key. */
    readonly nonce: string;
}

/** An unrepeatable live request was answered, or surely not run. */
export interface UnrepeatableEndedRecord {
    readonly kind: "once-ended";
    readonly at: string;
    readonly key: string;
    /** Status of its answer; undefined when it was not run: its key is free again. */
    readonly status?: number;
}

/** Lengths of leases that this owner gives from now on; kept before the first of them is given. */
export interface LeaseTermsRecord {
    readonly kind: "terms";
    readonly terms: LeaseTerms;
}

/** Any record of a shard's journal. */
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
    | LeaseTermsRecord;

/** The job that a record is of, if it is of one. */
export const jobOfRecord = (record: ShardRecord): JobId | undefined => {
    if ("job" in record) {
        return record.job;
    }
    return "task" in record ? jobOfTask(record.task) : undefined;
};
