/** Messages between gateways, schedulers and operators. */
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

/** The scheduler does not own the shard, or may not serve it at present. */
export interface NotOwner {
    readonly kind: "not-owner";
}

/** The record was not confirmed as committed in time; it may still be committed later. */
export interface NotRecorded {
    readonly kind: "not-recorded";
    readonly retryAfter: Milliseconds;
}

/** Submits a job. */
export interface SubmitRequest {
    readonly shard: ShardId;
    readonly submission: JobSubmission;
    readonly digest: string;
}

/** Identifies a job by its id, or by the key that its caller gave it. */
export interface JobRequest {
    readonly shard: ShardId;
    readonly job?: JobId;
    readonly key?: string;
}

/** Waits up to `wait` for the end of a job. */
export interface WaitRequest extends JobRequest {
    readonly wait: Milliseconds;
}

/** The current state of a job and the decisions about it so far. */
export interface JobAnswer {
    readonly kind: "job";
    readonly view: JobView;
    readonly history: readonly DecisionEntry[];
}

/** The shard knows no job of this id or key. */
export interface NoJob {
    readonly kind: "no-job";
}

/** Requests slots of a service. */
export interface AcquireRequest {
    readonly shard: ShardId;
    readonly service: string;
    readonly request: SlotRequest;
}

/** Granted slots; the gateway may use them for `duration`, counted from when it sent the request. */
export interface AcquireAnswer {
    readonly kind: "granted";
    readonly grants: readonly SlotGrant[];
    readonly duration: Milliseconds;
    readonly revision: SettingsRevision;
}

/** The shard knows no service of this name. */
export interface NoService {
    readonly kind: "no-service";
}

/** Records an unrepeatable live request before it is sent, or the status of its response afterwards. */
export interface UnrepeatableRecordRequest {
    readonly shard: ShardId;
    readonly key: string;
    readonly digest: string;
    /** Identifies one send of the request; unchanged when the record is requested again. */
    readonly nonce: string;
    readonly status?: number;
}

/** The request is recorded; it may be sent only if there is no `earlier` one of its key. */
export interface UnrepeatableRecordAnswer {
    readonly kind: "recorded";
    readonly earlier: UnrepeatableRequest | undefined;
}

/** State of one worker, as the owner of its shard sees it. */
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

/** State of one shard, as its owner sees it. */
export interface ShardStatus {
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly queued: number;
    readonly running: number;
    readonly journalWrites: number;
    readonly journalStalled: Milliseconds;
    /** Share of the workers' CPU capacity that is allocated, from 0 to 1. */
    readonly packing: number;
    readonly workers: readonly WorkerStatus[];
}

/** State of one scheduler process and of the shards that it owns. */
export interface SchedulerStatus {
    readonly process: ProcessId;
    readonly region: string;
    readonly site: string;
    readonly dataHall: string;
    readonly revision: SettingsRevision;
    readonly shards: readonly ShardStatus[];
}

/** A shard that a scheduler believes it owns. If several claim one, the highest epoch is the owner. */
export interface OwnershipClaim {
    readonly shard: ShardId;
    readonly epoch: Epoch;
}

/** Operations that a scheduler offers to other processes. `currentSettings` is undefined before the first revision. */
export interface SchedulerService {
    submit(request: SubmitRequest): Promise<SubmitOutcome | NotOwner | NotRecorded>;
    view(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner>;
    wait(request: WaitRequest): Promise<JobAnswer | NoJob | NotOwner>;
    cancel(request: JobRequest): Promise<JobAnswer | NoJob | NotOwner | NotRecorded>;
    acquire(request: AcquireRequest): Promise<AcquireAnswer | NoService | NotOwner>;
    beginUnrepeatable(request: UnrepeatableRecordRequest): Promise<UnrepeatableRecordAnswer | NotOwner | NotRecorded>;
    endUnrepeatable(request: UnrepeatableRecordRequest): Promise<UnrepeatableRecordAnswer | NotOwner | NotRecorded>;
    status(): Promise<SchedulerStatus>;
    currentSettings(): Promise<StoredSettings | undefined>;
    ownedShards(): Promise<readonly OwnershipClaim[]>;
}
