/** What operators configure for a cell. */
import type { Milliseconds, QueueName, ServiceName } from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { Organisation } from "../organisations/index.js";
import type { UpkeepWave } from "../upkeep/index.js";

/** A queue that callers hand jobs to. */
export interface QueueConfiguration {
    readonly name: QueueName;
    /** Host name that callers ask for. */
    readonly host: string;
    /** A caller's path begins with it. */
    readonly pathPrefix: string;
    readonly service: ServiceName;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Failed runs of a task, or of a gang, after which its job has failed. */
    readonly attempts: number;
    /** The objective of a job is this times its longest chain of work, plus `latencyTarget`. */
    readonly extension: number;
    readonly latencyTarget: Milliseconds;
    /** How long a caller's request may take. */
    readonly timeout: Milliseconds;
    readonly advice: AdvicePolicy | undefined;
    /** Whether its callers have to show a key of an organisation. */
    readonly needsKey: boolean;
}

/** A service: a pool of workers. */
export interface ServiceConfiguration {
    readonly name: ServiceName;
    /** Whether its workers refuse what does not fit. */
    readonly guardsRoom: boolean;
    /** Whether its VMs are switched off and wait to be moved to another pool. */
    readonly isHeadroom: boolean;
    /** Path that a worker answers while it considers itself well; empty when there is none. */
    readonly healthPath: string;
}

/** One version of the whole configuration. */
export interface CellConfiguration {
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly services: readonly ServiceConfiguration[];
    /** Who shares the cell; empty where nobody is told apart. */
    readonly organisations: readonly Organisation[];
    /** Largest body of a caller's request, in bytes. */
    readonly bodyLimit: number;
}

/** What operators have asked for, read at a moment. */
export interface OperatorUpdate {
    /** Undefined while there is none, or when it did not change since the cursor. */
    readonly configuration: CellConfiguration | undefined;
    /** Waves of upkeep that are new, or changed. */
    readonly waves: readonly UpkeepWave[];
    /** Where {@link ConfigurationFeed.follow} goes on. */
    readonly cursor: string;
}

/** Reads and follows what operators ask for. Calls reject with `PlatformUnavailableError` when no answer came. */
export interface ConfigurationFeed {
    /** Reads all that is asked for. */
    read(signal: AbortSignal): Promise<OperatorUpdate>;
    /** Waits for a change; undefined when the history since `cursor` is gone and all must be read again. */
    follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<OperatorUpdate | undefined>;
}
