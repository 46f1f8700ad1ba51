/** The newest configuration that this VM knows, from the store, the owner or other VMs. Never goes back. */
import { type CellConfiguration, type ConfigurationFeed, QueueDirectory } from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";

/** Longest wait in one call, in milliseconds. */
const watchDuration: Milliseconds = 20_000;
/** Wait before the store is asked again after a failure, in milliseconds. */
const retryDelay: Milliseconds = 150;

/** What a watch needs. */
export interface ConfigurationWatchOptions {
    readonly feed: ConfigurationFeed;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Told of each newer version. */
    readonly onChange: (configuration: CellConfiguration) => void;
}

/** See the module's comment. */
export class ConfigurationWatch {
    #queues: QueueDirectory | undefined;
    #isReachable = true;

    constructor(private readonly options: ConfigurationWatchOptions) {}

    /** The queues in force; undefined while no configuration is known. */
    get queues(): QueueDirectory | undefined {
        return this.#queues;
    }

    /** The configuration in force. */
    get configuration(): CellConfiguration | undefined {
        return this.#queues?.configuration;
    }

    /** Whether the store answered the last call. */
    get isStoreReachable(): boolean {
        return this.#isReachable;
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
                this.#noteReachable(true);
            }
            catch {
                if (!signal.aborted) {
                    this.#noteReachable(false);
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
        return news?.cursor;
    }

    #noteReachable(isReachable: boolean): void {
        if (isReachable !== this.#isReachable) {
            this.options.logger.log(isReachable ? logEvents.storeReachable : logEvents.storeUnreachable);
        }
        this.#isReachable = isReachable;
    }
}
