/** Worker protocol of shards, implemented by one adapter per actual protocol. */
import type { Attempt, Epoch, Incarnation, ShardId, TaskId, WorkerId } from "../ids/index.js";
import type { Resources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";

/** Identifies one attempt to run a task. */
export interface TaskAttempt {
    readonly task: TaskId;
    readonly attempt: Attempt;
}

/** A running task in a worker's report. */
export interface RunningTask extends TaskAttempt {
    /** Usage as last measured by the worker, so possibly out of date. */
    readonly usage: Resources;
    /** IP address and port for live requests, if the task serves any. */
    readonly serviceAddress?: string;
}

/** How an attempt ended on its worker. */
export enum EndKind {
    Succeeded = "succeeded",
    Failed = "failed",
    Stopped = "stopped",
    Checkpointed = "checkpointed",
    LeaseLapsed = "lease-lapsed",
}

/** An ended attempt in a worker's report, repeated until it is acknowledged. */
export interface EndedTask extends TaskAttempt {
    readonly kind: EndKind;
    /** The task's output, its checkpoint, or the message of its failure. */
    readonly output: string;
    readonly ranFor: Milliseconds;
}

/** State of a worker, sent in answer to a claim or a heartbeat. */
export interface WorkerReport {
    readonly worker: WorkerId;
    readonly incarnation: Incarnation;
    /** A new number for each report. The time limits of a start or renewal that echoes it count from its issue. */
    readonly number: number;
    readonly leaving: boolean;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedTask[];
}

/** Announces a new owner to a worker. */
export interface ClaimMessage {
    readonly shard: ShardId;
    readonly epoch: Epoch;
}

/** Renews leases, acknowledges ended attempts and requests the next report. */
export interface HeartbeatMessage extends ClaimMessage {
    /** Number of the last report. */
    readonly number: number;
    readonly renewals: readonly TaskAttempt[];
    readonly acknowledged: readonly TaskAttempt[];
    /** Duration of renewed leases, from the issue of `number`. */
    readonly lease: Milliseconds;
    /** How long the worker may delay its answer while no task ends. */
    readonly wait: Milliseconds;
}

/** Requests the start of an attempt. */
export interface StartMessage extends ClaimMessage, TaskAttempt {
    readonly number: number;
    /** The worker refuses the start when it arrives later than this after the issue of `number`. */
    readonly latestStart: Milliseconds;
    readonly lease: Milliseconds;
    /** Resources granted to the task, which the worker enforces. */
    readonly grant: Resources;
    readonly payload: unknown;
    readonly checkpoint?: string;
    /** Whether the task serves live requests until it is stopped. */
    readonly serves: boolean;
}

/** How to end a running task. */
export enum StopMode {
    Stop = "stop",
    Checkpoint = "checkpoint",
}

/** Requests the end of an attempt. */
export interface StopMessage extends ClaimMessage, TaskAttempt {
    readonly mode: StopMode;
}

/** Limits the processors that an attempt may use. */
export interface ThrottleMessage extends ClaimMessage, TaskAttempt {
    readonly processorThousandths: number;
}

/** Why a worker refused a message. A task whose start was refused has not run and will not run. */
export enum WorkerRefusal {
    OldEpoch = "old-epoch",
    OldNumber = "old-number",
    TooLate = "too-late",
    Leaving = "leaving",
    NoRoom = "no-room",
}

/** A worker's answer to a message that it may refuse. */
export type WorkerAnswer<Value> =
    | { readonly kind: "accepted"; readonly value: Value; }
    | { readonly kind: "refused"; readonly refusal: WorkerRefusal; };

/** Thrown when a worker did not answer. The message may or may not have arrived. */
export class WorkerUnreachableError extends Error {
    override readonly name = "WorkerUnreachableError";
}

/** Client of one worker. All calls reject with {@link WorkerUnreachableError} when they are not answered. */
export interface WorkerClient {
    /** Raises the epoch at the worker and returns its state. */
    claim(message: ClaimMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>>;
    heartbeat(message: HeartbeatMessage, signal: AbortSignal): Promise<WorkerAnswer<WorkerReport>>;
    /** Starts a task. Idempotent: a copy of an accepted start is accepted again without effect. */
    start(message: StartMessage, signal: AbortSignal): Promise<WorkerAnswer<RunningTask>>;
    /** Requests the end of a task. The end itself arrives with a later report. */
    stop(message: StopMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>>;
    /** Throttles a task that uses more processors than granted. */
    throttle(message: ThrottleMessage, signal: AbortSignal): Promise<WorkerAnswer<boolean>>;
}
