/** Options of shard candidates and owned shards, and the view of a shard that worker links use. */
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

/** Dependencies and settings of a shard candidate. */
export interface ShardCandidateOptions {
    readonly values: ProgramValues<typeof schedulerSchema>;
    readonly shard: ShardId;
    readonly owner: ProcessId;
    readonly store: PlatformStore;
    readonly vmList: VmList;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: EventLogger;
    readonly sharedSettings: SettingsWatch;
    readonly metrics: Metrics;
    /** Number of shards that this process owns now. */
    readonly countOwned: () => number;
}

/** What an owned shard needs beyond the options of its candidate. */
export interface OwnedShardOptions extends ShardCandidateOptions {
    readonly journal: Journal;
    readonly contents: JournalContents;
    /** `at` is when the last successful renewal of the lease on the shard was sent, by the monotonic clock. */
    readonly lastRenewal: { readonly at: Milliseconds; };
    /** Aborted when the shard is lost or handed over. */
    readonly lost: AbortController;
}

/** The part of an owned shard that its worker links use. */
export interface LinkedShard {
    readonly options: OwnedShardOptions;
    readonly scheduler: ShardScheduler;
    /**
     * Commits the records of a transition to the journal, then executes its effects. Resolves even if the shard is
     * lost.
     */
    commit(transition: Transition): Promise<void>;
    /** Schedules a scheduling cycle; requests made before it starts are merged. */
    requestCycle(): void;
    /** Gives up ownership; `reason` is logged. */
    stepDown(reason: string): void;
}
