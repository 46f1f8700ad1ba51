/** The newest configuration that this VM knows, from the store, the owner or other VMs. Never goes back. */
import {
    type CellConfiguration,
    type ConfigurationFeed,
    type OperatorNews,
    QueueDirectory,
    type UpkeepWave,
} from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import {
    type Followed,
    type FollowedNews,
    type FollowLimits,
    FollowLoop,
    type StoreProbe,
} from "../following/index.js";
import { DependencyWatch } from "../observation/index.js";

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
    /** How long the store may go unheard. */
    readonly limits: FollowLimits;
    readonly probe: StoreProbe;
    /** Told of each newer version. */
    readonly onChange: (configuration: CellConfiguration) => void;
    /** Told of waves of upkeep. */
    readonly onWaves: (waves: readonly UpkeepWave[]) => void;
}

/** See the module's comment. */
export class ConfigurationWatch implements Followed {
    #queues: QueueDirectory | undefined;
    readonly #waves = new Map<number, UpkeepWave>();
    readonly #loop: FollowLoop;

    constructor(private readonly options: ConfigurationWatchOptions) {
        const { logger, clock, limits, probe } = options;
        const { storeUnreachable: lost, storeReachable: regained } = logEvents;
        const store = new DependencyWatch({ logger, clock, lost, regained });
        this.#loop = new FollowLoop({
            followed: this,
            clock,
            limits,
            probe,
            onAnswer: () => store.noteAnswer(),
            onFailure: (cause, age) => store.noteFailure(cause, age),
        });
    }

    /** How long ago the store last told what is in force; undefined before it first did. */
    get age(): Milliseconds | undefined {
        return this.#loop.age;
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
            organisations: configuration.organisations.map(({ name, keys, weight, limit }) => [
                name,
                keys.length,
                weight,
                limit.processorThousandths,
                limit.memoryMebibytes,
            ]),
        });
        this.options.onChange(configuration);
    }

    /** Follows the store until `signal` fires. */
    run(signal: AbortSignal): Promise<void> {
        return this.#loop.run(signal);
    }

    /** See {@link Followed.readAll}. */
    async readAll(signal: AbortSignal): Promise<FollowedNews> {
        const news = await this.options.feed.read(signal);
        return { cursor: news.cursor, take: () => this.#takeNews(news) };
    }

    /** See {@link Followed.changes}. */
    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedNews | undefined> {
        const news = await this.options.feed.follow(cursor, wait, signal);
        return news && { cursor: news.cursor, take: () => this.#takeNews(news) };
    }

    #takeNews({ configuration, waves }: OperatorNews): void {
        if (configuration !== undefined) {
            this.take(configuration, "store");
        }
        if (waves.length > 0) {
            waves.forEach(wave => this.#waves.set(wave.wave, wave));
            this.options.onWaves(waves);
        }
    }
}
