/** Messages between the product's own processes. */
import type {
    DecisionEntry,
    Epoch,
    JobId,
    JobSubmission,
    JobView,
    Milliseconds,
    ProcessId,
    Resources,
    SettingsRevision,
    ShardId,
    SlotGrant,
    SlotRequest,
    StoredSettings,
    SubmitOutcome,
    UnrepeatableRequest,
    WorkerId,
} from "@pebbledale/core";

/** The scheduler asked does not own the shard, or may not serve it just now. */
export interface NotOwner {
    readonly kind: "not-owner";
}

/** The platform did not confirm the record in time; it may still be kept later. */
export interface NotRecorded {
    readonly kind: "not-recorded";
    readonly retryAfter: Milliseconds;
}

/** Asks for a job to be accepted. */
export interface SubmitRequest {
    readonly shard: ShardId;
    readonly submission: JobSubmission;
    readonly digest: string;
}

/** Names a job by its id or by its caller's key. */
export interface JobRequest {
    readonly shard: ShardId;
    readonly job?: JobId;
    readonly key?: string;
}

/** Waits for a job's end, at most `wait`. */
export interface WaitRequest extends JobRequest {
    readonly wait: Milliseconds;
}

/** A job as it stands. */
export interface JobAnswer {
    readonly kind: "job";
    readonly view: JobView;
    readonly history: readonly DecisionEntry[];
}

/** No job of that id or key is known to the shard. */
export interface NoJob {
    readonly kind: "no-job";
}

/** Asks for slots of a service. */
export interface AcquireRequest {
    readonly shard: ShardId;
    readonly service: string;
    readonly request: SlotRequest;
}

/** Slots that the gateway may use for `duration` from when it sent its request. */
export interface AcquireAnswer {
    readonly kind: "granted";
    readonly grants: readonly SlotGrant[];
    readonly duration: Milliseconds;
    readonly revision: SettingsRevision;
}

/** No service of that name is known. */
export interface NoService {
    readonly kind: "no-service";
}

/** Asks to record an unrepeatable live request before it is sent, or its answer's status after. */
export interface OnceRequest {
    readonly shard: ShardId;
    readonly key: string;
    readonly digest: string;
    /** Names this send; the same when an owner is asked again. */
    readonly nonce: string;
    readonly status?: number;
}

/** Whether the request may be sent: not when `earlier` stands. */
export interface OnceAnswer {
    readonly kind: "recorded";
    readonly earlier: UnrepeatableRequest | undefined;
}

/** One worker as its owner sees it. */
export interface WorkerStatus {
    readonly worker: WorkerId;
    readonly dataHall: string;
    readonly rack: string;
    readonly open: boolean;
    readonly leaving: boolean;
    readonly quarantined: boolean;
    readonly tasks: number;
    readonly free: Resources;
    readonly capacity: Resources;
}

/** One shard as its owner sees it. */
export interface ShardStatus {
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly queued: number;
    readonly running: number;
    readonly journalWrites: number;
    readonly journalStalled: Milliseconds;
    /** Share of the processors that is granted, from 0 to 1. */
    readonly packing: number;
    readonly workers: readonly WorkerStatus[];
}

/** One scheduler. */
export interface SchedulerStatus {
    readonly process: ProcessId;
    readonly region: string;
    readonly site: string;
    readonly dataHall: string;
    readonly revision: SettingsRevision;
    readonly shards: readonly ShardStatus[];
}

/** A shard that a scheduler believes it owns; the higher epoch is right. */
export interface OwnedShardName {
    readonly shard: ShardId;
    readonly epoch: Epoch;
}

/** What a scheduler does for others. Undefined of {@link StoredSettings}: it has none. */
export interface SchedulerService {
    submit(request: SubmitRequest): Promise<SubmitOutcome | NotOwner | NotRecorded>;
    view(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner>;
    wait(request: WaitRequest): Promise<JobAnswer | NoJob | NotOwner>;
    cancel(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner | NotRecorded>;
    acquire(request: AcquireRequest): Promise<AcquireAnswer | NoService | NotOwner>;
    beginOnce(request: OnceRequest): Promise<OnceAnswer | NotOwner | NotRecorded>;
    endOnce(request: OnceRequest): Promise<OnceAnswer | NotOwner | NotRecorded>;
    status(): Promise<SchedulerStatus>;
    currentSettings(): Promise<StoredSettings | undefined>;
    ownedShards(): Promise<readonly OwnedShardName[]>;
}
