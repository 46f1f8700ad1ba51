/** The orders a worker takes and what it answers. One adapter implements the client for each real protocol. */
import type { FencingToken, Milliseconds, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";

/** One run that a worker has at work. */
export interface WorkerRun {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** The newest progress that was saved; empty when there is none. */
    readonly checkpoint: string;
    /** How much of the task is done, from 0 to 100. */
    readonly percent: number;
    /** Rough: latency tail in milliseconds of a task that serves, otherwise thousandths of a processor in use. */
    readonly measure: number;
}

/** How a run ended. */
export enum RunEnd {
    Done = "done",
    /** By its own fault or the worker's. */
    Failed = "failed",
    Stopped = "stopped",
    /** The worker's lease ran out. */
    Lapsed = "lapsed",
    /** Another member of the gang ended. */
    Broken = "broken",
    /** The other members of the gang did not come in time. */
    Alone = "alone",
}

/** One run that ended and that the worker was not yet told to forget. */
export interface EndedRun {
    /** Counts the ends of a worker's life from 1. */
    readonly number: number;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** Time on a worker's steady clock. It may run 2% slow against ours. */
export type WorkerTime = Milliseconds;

/** Asks for what runs and what ended, and renews the lease of all that runs. */
export interface PollRequest {
    readonly token: FencingToken;
    /** Ends up to this number are kept by us: the worker may forget them. */
    readonly forgetThrough: number;
    /** Everything there may run until then; left out, the lease stands as it is. */
    readonly leaseUntil?: WorkerTime;
    /** The answer waits this long for an end. */
    readonly wait?: Milliseconds;
}

/** What a worker has. */
export interface PollResult {
    /** Which life of the worker answers; left out where the platform gives a restarted worker another id. */
    readonly life?: WorkerIncarnation;
    readonly clock: WorkerTime;
    readonly running: readonly WorkerRun[];
    readonly ended: readonly EndedRun[];
}

/** Starts one run. */
export interface StartOrder {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly payload: string;
    readonly token: FencingToken;
    readonly leaseUntil: WorkerTime;
    readonly checkpoint: string;
    /** What the advice service gave for this step and worker, if it was asked. */
    readonly ticket?: string;
}

/** Ends one run. */
export interface StopOrder {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly token: FencingToken;
}

/** Lets a run work at a share of its speed. */
export interface PaceOrder extends StopOrder {
    /** From 0 to 100. */
    readonly percent: number;
}

/** Why a worker did not do what it was told. What was refused was not done and will not be. */
export enum OrderRefusal {
    /** It has seen a higher fencing token. */
    Fenced = "fenced",
    /** It has had this run, or a later one. */
    OldRun = "old-run",
    /** The lease that came with the order is over. */
    Late = "late",
    NoRoom = "no-room",
    /** The ticket does not hold. */
    Ticket = "ticket",
    /** The worker is not well; it did nothing. */
    Unhealthy = "unhealthy",
    /** Another life of the worker answers at this address: the one meant is over. */
    WrongWorker = "other-life",
    /** It could not read the order. */
    Malformed = "malformed",
}

/** Answer to an order. */
export type OrderAnswer =
    | { readonly kind: "taken"; readonly clock: WorkerTime; }
    | { readonly kind: "refused"; readonly refusal: OrderRefusal; readonly clock: WorkerTime | undefined; };

/** Answer to a look. */
export type PollAnswer =
    | { readonly kind: "seen"; readonly poll: PollResult; }
    | { readonly kind: "refused"; readonly refusal: OrderRefusal; };

/** Calls of one life of a worker. Each rejects with `WorkerUnreachableError` when no answer came. */
export interface TaskWorkerClient {
    /** See {@link PollRequest}. `limit`: without an answer by then the call has failed. */
    poll(request: PollRequest, limit: Milliseconds, signal: AbortSignal): Promise<PollAnswer>;
    /** Starts a run; a copy of a start that was taken is taken again without effect. */
    start(order: StartOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    /** Asks for the end of a run; the end itself is seen by a look. */
    stop(order: StopOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    /** Slows a run down, or lets it work in full again. */
    pace(order: PaceOrder, limit: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    /** Gives its connections up. */
    close(): Promise<void>;
}

/** Makes clients of workers. */
export interface TaskWorkerClients {
    /** A client of one life of a worker at its address. */
    clientOf(worker: WorkerId, address: string): TaskWorkerClient;
}
