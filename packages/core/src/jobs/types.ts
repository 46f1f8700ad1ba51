/** Jobs as callers and operators see them. */
import type { JobId, TaskId, WorkerId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** State of a job. All but `Queued`, `Running` and `Cancelling` are final. */
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

/** Whether any task of a job has run, as far as is certain. */
export enum ExecutionStatus {
    NotRun = "not-run",
    Ran = "ran",
    MayHaveRun = "may-have-run",
}

/** Whether a job in this state has ended and never changes state again. */
export const isFinalState = (state: JobState): boolean =>
    state !== JobState.Queued && state !== JobState.Running && state !== JobState.Cancelling;

/** A decision about a job in its history. */
export interface DecisionEntry {
    readonly at: string;
    readonly decision: string;
    readonly reason: string;
}

/** Final result of one task. */
export interface TaskOutcome {
    readonly task: TaskId;
    readonly output: string;
    readonly succeeded: boolean;
}

/** A job as its caller sees it. */
export interface JobView {
    readonly job: JobId;
    readonly key: string;
    readonly state: JobState;
    readonly ran: ExecutionStatus;
    readonly reason: string;
    readonly attempts: number;
    readonly workers: readonly WorkerId[];
    /** Position in the queue, from 1. Set while queued. */
    readonly place?: number;
    /** Expected remaining wait in milliseconds. Set while queued. */
    readonly expectedWait?: Milliseconds;
    /** One entry per task, empty until the job has ended. */
    readonly outcomes: readonly TaskOutcome[];
}
