/** The workers' protocol as the product sees it. One adapter implements it for each real protocol. */
import type { Attempt, Epoch, Incarnation, ShardId, TaskId, WorkerId } from "../ids/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";

/** One attempt to run a task. */
export interface TaskAttempt {
    readonly task: TaskId;
    readonly attempt: Attempt;
}

/** A task that runs at a worker. */
export interface RunningTask extends TaskAttempt {
    /** Usage as last measured by the worker; late. */
    readonly usage: Resources;
    /** Where live requests for this task go, if it serves any: IP number and port. */
    readonly serviceAddress?: string;
}

/** How a task ended at its worker. */
export enum EndKind {
    Succeeded = "succeeded",
    Failed = "failed",
    Stopped = "stopped",
    Checkpointed = "checkpointed",
    LeaseLapsed = "lease-lapsed",
}

/** A task that ended at a worker and whose end was not yet acknowledged. */
export interface EndedTask extends TaskAttempt {
    readonly kind: EndKind;
    /** The task's output, or its checkpoint, or the text of its failure. */
    readonly output: string;
    readonly ranFor: Milliseconds;
}

/** What a worker says of itself in answer to a claim or a heartbeat. */
export interface WorkerReport {
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    /** A fresh number; a start or renewal that echoes it is counted from when it was issued. */
    readonly number: number;
    readonly leaving: boolean;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
}

/** Tells a worker which owner it now has. */
export interface ClaimMessage {
    readonly shard: ShardId;
    readonly epoch: Epoch;
}

/** Renews leases, acknowledges ends and asks for the next report. */
export interface HeartbeatMessage extends ClaimMessage {
    /** The number of the last report. */
    readonly number: number;
    readonly renewals: readonly TaskAttempt[];
    readonly acknowledged: readonly TaskAttempt[];
    /** How long a renewed lease runs from the issue of `number`. */
    readonly lease: Milliseconds;
    /** How long the worker may hold the answer back while nothing ends. */
    readonly wait: Milliseconds;
}

/** Starts one attempt. */
export interface StartMessage extends ClaimMessage, TaskAttempt {
    readonly number: number;
    /** Refused when it arrives later than this after `number` was issued. */
    readonly latestStart: Milliseconds;
    readonly lease: Milliseconds;
    /** What the worker is told to enforce. */
    readonly grant: Resources;
    readonly payload: unknown;
    readonly checkpoint?: string;
    /** Whether the task serves live requests until it is stopped. */
    readonly serves: boolean;
}

/** How a running task is to be ended. */
export enum StopMode {
    Stop = "stop",
    Checkpoint = "checkpoint",
}

/** Ends one attempt. */
export interface StopMessage extends ClaimMessage, TaskAttempt {
    readonly mode: StopMode;
}

/** Limits the processors of one attempt. */
export interface ThrottleMessage extends ClaimMessage, TaskAttempt {
    readonly processorThousandths: number;
}

/** Why a worker refused a message. A refused start was not run and will not be. */
export enum WorkerRefusal {
    OldEpoch = "old-epoch",
    OldNumber = "old-number",
    TooLate = "too-late",
    Leaving = "leaving",
    NoRoom = "no-room",
}

/** The worker's answer to a message that it may refuse. */
export type WorkerAnswer<Value> =
    | { readonly kind: "accepted"; readonly value: Value; }
    | { readonly kind: "refused"; readonly refusal: WorkerRefusal; };

/** Thrown when a worker gave no answer: the message may or may not have arrived. */
export class WorkerUnreachableError extends Error {
    override readonly name = "WorkerUnreachableError";
}

/** Calls of one worker. Each rejects with {@link WorkerUnreachableError} when no answer came. */
export interface WorkerClient {
    /** Raises the epoch at the worker and reads what it runs. */
    claim(message: ClaimMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>>;
    heartbeat(message: HeartbeatMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>>;
    /** Starts a task; a copy of a start that was accepted is accepted again without effect. */
    start(message: StartMessage, signal: AbortSignal): Promise<WorkerAnswer<RunningTask>>;
    /** Asks for the end of a task; the end itself comes with a report. */
    stop(message: StopMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>>;
    /** Limits a task that uses more than it was granted. */
    throttle(message: ThrottleMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>>;
}
