/** Calls to workers and their answers. A platform adapter implements the client for its workers' protocol. */
import type { FencingToken, Milliseconds, RunNumber, TaskAddress, WorkerId, WorkerIncarnation } from "@pebbledale/core";

/** A run in progress, as its worker reports it. */
export interface WorkerRun {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Latest saved checkpoint; empty when there is none. */
    readonly checkpoint: string;
    /** Progress of the task, from 0 to 100. */
    readonly percent: number;
    /** Approximate. For a task that serves requests its tail latency in milliseconds, otherwise thousandths of a processor in use. */
    readonly measure: number;
}

/** How a run ended. */
export enum RunEnd {
    Done = "done",
    /** The task or the worker failed. */
    Failed = "failed",
    Stopped = "stopped",
    /** The worker's lease ran out. */
    Lapsed = "lapsed",
    /** Another member of the gang ended. */
    Broken = "broken",
    /** Other members of the gang did not start in time. */
    Alone = "alone",
}

/** A run that ended, as its worker reports it until the end is acknowledged. */
export interface EndedRun {
    /** Number of the end, counted from 1 in each incarnation of the worker. */
    readonly number: number;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** Time of a worker's monotonic clock, which may run up to 2% slower than the owner's. */
export type WorkerTime = Milliseconds;

/** Asks a worker for its runs and ends, and may renew the lease of all its runs. */
export interface PollRequest {
    readonly token: FencingToken;
    /** Ends up to this number are committed, so that the worker may forget them. */
    readonly forgetThrough: number;
    /** New end of the lease of all its runs; absent to leave the lease as it is. */
    readonly leaseUntil?: WorkerTime;
    /** Maximum time for which the worker delays its answer until a run ends (long poll). */
    readonly wait?: Milliseconds;
}

/** Runs and ends of a worker at one moment. Sent between VMs. */
export interface PollResult {
    /** Incarnation that answers; absent on platforms that give a restarted worker another id. */
    readonly life?: WorkerIncarnation;
    readonly clock: WorkerTime;
    readonly running: readonly WorkerRun[];
    readonly ended: readonly EndedRun[];
    /**
     * Whether the list of ends was cut short, so that a run that is not listed may have ended. Absent in messages of versions that do not
     * know it.
     */
    readonly mayHaveMoreEnds?: boolean;
}

/** Orders a worker to start a run. */
export interface StartOrder {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly payload: string;
    readonly token: FencingToken;
    readonly leaseUntil: WorkerTime;
    readonly checkpoint: string;
    /** Ticket that the advice service issued for this step and worker, if it was asked. */
    readonly ticket?: string;
}

/** Orders a worker to stop a run. */
export interface StopOrder {
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly token: FencingToken;
}

/** Orders a worker to throttle a run, or to lift the throttle. */
export interface PaceOrder extends StopOrder {
    /** Share of full speed, from 0 to 100. */
    readonly percent: number;
}

/** Why a worker refused an order. A refused order was not carried out and will not be. */
export enum OrderRefusal {
    /** It has seen a higher fencing token. */
    Fenced = "fenced",
    /** It has already had this run or a later one. */
    OldRun = "old-run",
    /** The lease in the order has expired. */
    Late = "late",
    NoRoom = "no-room",
    /** The ticket is missing or not valid. */
    Ticket = "ticket",
    /** The worker reports itself as unhealthy. */
    Unhealthy = "unhealthy",
    /** Another worker or incarnation answers at this address: the addressed one is gone. */
    WrongWorker = "other-life",
    /** It could not parse the order. */
    Malformed = "malformed",
}

/** Answer to an order. The time of the worker's clock is unknown where the refusal does not contain it. */
export type OrderAnswer =
    | { readonly kind: "taken"; readonly clock: WorkerTime; }
    | { readonly kind: "refused"; readonly refusal: OrderRefusal; readonly clock: WorkerTime | undefined; };

/** Answer to a poll. */
export type PollAnswer =
    | { readonly kind: "seen"; readonly poll: PollResult; }
    | { readonly kind: "refused"; readonly refusal: OrderRefusal; };

/** Calls to one incarnation of a worker. Each rejects with `WorkerUnreachableError` when there is no answer. */
export interface TaskWorkerClient {
    /** Polls the worker. `timeout`: applies to the whole call, as in the other methods. */
    poll(request: PollRequest, timeout: Milliseconds, signal: AbortSignal): Promise<PollAnswer>;
    /** Starts a run. Idempotent: a repeated order for a run that was started is accepted without effect. */
    start(order: StartOrder, timeout: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    /** Stops a run. Its end is reported by a later poll. */
    stop(order: StopOrder, timeout: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    pace(order: PaceOrder, timeout: Milliseconds, signal: AbortSignal): Promise<OrderAnswer>;
    /** Closes the connections. */
    close(): Promise<void>;
}

/** Factory for clients of workers. */
export interface TaskWorkerClients {
    /** Creates a client for one incarnation of a worker at its address. */
    clientOf(worker: WorkerId, address: string): TaskWorkerClient;
}
