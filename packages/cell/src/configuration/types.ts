/** The operators' configuration of a cell and where it is read from. */
import type { Milliseconds, QueueName, ServiceName } from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { HallChanges } from "../data-halls/index.js";
import type { Organisation } from "../organisations/index.js";
import type { UpkeepWave } from "../upkeep/index.js";

/** A queue to which callers submit jobs. */
export interface QueueConfiguration {
    readonly name: QueueName;
    /** Host name in callers' requests. */
    readonly host: string;
    /** Prefix of the path in callers' requests. */
    readonly pathPrefix: string;
    readonly service: ServiceName;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Failed runs of a task, or of a gang, after which its job has failed. */
    readonly attempts: number;
    /** The objective of a job is this times its critical path, plus `latencyTarget`. */
    readonly extension: number;
    readonly latencyTarget: Milliseconds;
    /** How long a caller's request may take. */
    readonly timeout: Milliseconds;
    readonly advice: AdvicePolicy | undefined;
    /** Whether callers must present a key of an organisation. */
    readonly needsKey: boolean;
}

/** A service: a pool of workers. */
export interface ServiceConfiguration {
    readonly name: ServiceName;
    /** Whether its workers reject runs that do not fit. */
    readonly guardsRoom: boolean;
    /** Whether its VMs are switched off and wait to be moved to another pool. */
    readonly isHeadroom: boolean;
    /** Path of its workers' health check; empty when there is none. */
    readonly healthPath: string;
}

/** One version of the whole configuration. */
export interface CellConfiguration {
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly services: readonly ServiceConfiguration[];
    /** The organisations that share the cell; empty where callers are not distinguished. */
    readonly organisations: readonly Organisation[];
    /** Largest body of a caller's request, in bytes. */
    readonly bodyLimit: number;
}

/** Configuration and upkeep waves, whole or as changed since a cursor. */
export interface OperatorUpdate {
    /** Undefined when there is none, or when it has not changed since the cursor. */
    readonly configuration: CellConfiguration | undefined;
    /** Upkeep waves that are new or changed. */
    readonly waves: readonly UpkeepWave[];
    /** Closures of data halls: all that are closed when read as a whole. */
    readonly halls: HallChanges;
    /** Passed to {@link ConfigurationFeed.follow} to receive what follows. */
    readonly cursor: string;
}

/** Reads and follows the operators' configuration. Calls reject with `PlatformUnavailableError` when no answer arrives. */
export interface ConfigurationFeed {
    /** Reads everything. */
    read(signal: AbortSignal): Promise<OperatorUpdate>;
    /** Waits for a change. Undefined when the history since `cursor` is gone and everything must be read again. */
    follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<OperatorUpdate | undefined>;
}
