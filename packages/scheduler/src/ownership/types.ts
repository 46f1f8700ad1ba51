/** Words of owning shards. */
import type {
    Clock,
    Journal,
    JournalContents,
    Milliseconds,
    PlatformStore,
    ProcessId,
    Random,
    ShardId,
    ShardScheduler,
    Transition,
    VmList,
} from "@pebbledale/core";
import type { EventLogger, Metrics, ProgramValues, schedulerSchema, SettingsWatch } from "@pebbledale/runtime";

/** What a candidate needs. */
export interface CandidateOptions {
    readonly values: ProgramValues<typeof schedulerSchema>;
    readonly shard: ShardId;
    readonly owner: ProcessId;
    readonly store: PlatformStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly watch: SettingsWatch;
    readonly metrics: Metrics;
    /** Number of shards that this process owns. */
    readonly countOwned: () => number;
}

/** What an owned shard needs. */
export interface OwnedShardOptions extends CandidateOptions {
    readonly journal: Journal;
    readonly contents: JournalContents;
    /** When the platform last confirmed the lease, by the monotonic clock. */
    readonly lastRenewal: { readonly at: Milliseconds; };
    /** Fires when the shard is lost. */
    readonly lost: AbortController;
}

/** What the links to workers know of the shard that they are for. */
export interface LinkedShard {
    readonly options: OwnedShardOptions;
    /** The decisions. */
    readonly scheduler: ShardScheduler;
    /** Keeps the records of a step, then carries its effects out. Resolves when the records are kept. */
    commit(transition: Transition): Promise<void>;
    /** Plans a pass over what waits. */
    requestCycle(): void;
    /** Gives the shard up. */
    stepDown(reason: string): void;
}
