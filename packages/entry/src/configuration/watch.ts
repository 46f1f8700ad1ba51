/** The newest configuration that this VM knows, from the store, the owner or other VMs. Never goes back. */
import { type CellConfiguration, type ConfigurationFeed, QueueDirectory, type UpkeepWave } from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { DependencyWatch } from "../observation/index.js";

/** Longest wait in one call, in milliseconds. */
const watchDuration: Milliseconds = 20_000;
/** Wait before the store is asked again after a failure, in milliseconds. */
const retryDelay: Milliseconds = 150;

/**
 * A VM that hears of a newer configuration waits this long for the store to show it before it asks for it, in
 * milliseconds: all VMs see it there within a few, and it may be half a megabyte.
 */
export const configurationGrace: Milliseconds = 100;

/** What a watch needs. */
export interface ConfigurationWatchOptions {
    readonly feed: ConfigurationFeed;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Told of each newer version. */
    readonly onChange: (configuration: CellConfiguration) => void;
    /** Told of waves of upkeep. */
    readonly onWaves: (waves: readonly UpkeepWave[]) => void;
}

/** See the module's comment. */
export class ConfigurationWatch {
    #queues: QueueDirectory | undefined;
    readonly #waves = new Map<number, UpkeepWave>();
    readonly #store: DependencyWatch;

    constructor(private readonly options: ConfigurationWatchOptions) {
        const { logger, clock } = options;
        const { storeUnreachable: lost, storeReachable: regained } = logEvents;
        this.#store = new DependencyWatch({ logger, clock, lost, regained });
    }

    /** The queues in force; undefined while no configuration is known. */
    get queues(): QueueDirectory | undefined {
        return this.#queues;
    }

    /** The configuration in force. */
    get configuration(): CellConfiguration | undefined {
        return this.#queues?.configuration;
    }

    /** All waves of upkeep that are known. */
    get waves(): readonly UpkeepWave[] {
        return [...this.#waves.values()];
    }

    /** Takes a configuration that may be newer. `source`: where it was seen. */
    take(configuration: CellConfiguration, source: string): void {
        if (configuration.version <= (this.configuration?.version ?? 0)) {
            return;
        }
        this.#queues = new QueueDirectory(configuration);
        this.options.logger.log(logEvents.configurationApplied, {
            version: configuration.version,
            source,
            queues: configuration.queues.length,
        });
        this.options.onChange(configuration);
    }

    /** Follows the store until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        let cursor: string | undefined;
        while (!signal.aborted) {
            try {
                cursor = await this.#follow(cursor, signal);
                this.#store.noteAnswer();
            }
            catch (cause) {
                if (!signal.aborted) {
                    this.#store.noteFailure(cause);
                    await this.options.clock.sleep(retryDelay, signal);
                }
            }
        }
    }

    async #follow(cursor: string | undefined, signal: AbortSignal): Promise<string | undefined> {
        const { feed } = this.options;
        const news = cursor === undefined
            ? await feed.read(signal)
            : await feed.follow(cursor, watchDuration, signal);
        if (news?.configuration !== undefined) {
            this.take(news.configuration, "store");
        }
        if (news !== undefined && news.waves.length > 0) {
            news.waves.forEach(wave => this.#waves.set(wave.wave, wave));
            this.options.onWaves(news.waves);
        }
        return news?.cursor;
    }
}
