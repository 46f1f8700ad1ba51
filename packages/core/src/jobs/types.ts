/** What callers and operators are told of a job. */
import type { JobId, TaskId, WorkerId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** State of a job. The last five are final. */
export enum JobState {
    Queued = "queued",
    Running = "running",
    Cancelling = "cancelling",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
    Expired = "expired",
    Unknown = "unknown",
}

/** Whether a job's tasks were ever run, as far as can be said with certainty. */
export enum ExecutionStatus {
    NotRun = "not-run",
    Ran = "ran",
    MayHaveRun = "may-have-run",
}

/** Whether a state is final. */
export const isFinalState = (state: JobState): boolean =>
    state !== JobState.Queued && state !== JobState.Running && state !== JobState.Cancelling;

/** One decision about a job with its reason. */
export interface DecisionEntry {
    readonly at: string;
    readonly decision: string;
    readonly reason: string;
}

/** What became of one task. */
export interface TaskOutcome {
    readonly task: TaskId;
    readonly output: string;
    readonly succeeded: boolean;
}

/** What a caller is told of its job. */
export interface JobView {
    readonly job: JobId;
    readonly key: string;
    readonly state: JobState;
    readonly ran: ExecutionStatus;
    readonly reason: string;
    readonly attempts: number;
    readonly workers: readonly WorkerId[];
    /** Place in the queue from 1 while queued. */
    readonly place?: number;
    /** Expected further wait while queued, in milliseconds. */
    readonly expectedWait?: Milliseconds;
    /** Outcomes by task, once final. */
    readonly outcomes: readonly TaskOutcome[];
}
