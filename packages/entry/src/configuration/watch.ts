/** The newest configuration that this VM knows, from the store, the owner or other VMs. Never goes back. */
import {
    type CellConfiguration,
    type ConfigurationFeed,
    type OperatorUpdate,
    QueueDirectory,
    type UpkeepWave,
} from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import {
    type FollowedUpdate,
    type FollowLimits,
    FollowLoop,
    type FollowSource,
    type StoreProbe,
} from "../following/index.js";
import { DependencyMonitor } from "../observation/index.js";

/**
 * A VM that hears of a newer configuration waits this long for the store to show it before it asks for it, in
 * milliseconds: all VMs see it there within a few, and it may be half a megabyte.
 */
export const configurationFetchDelay: Milliseconds = 100;

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
export class ConfigurationWatch implements FollowSource {
    #queues: QueueDirectory | undefined;
    readonly #waves = new Map<number, UpkeepWave>();
    readonly #loop: FollowLoop;

    constructor(private readonly options: ConfigurationWatchOptions) {
        const { logger, clock, limits, probe } = options;
        const { storeUnreachable: lost, storeReachable: regained } = logEvents;
        const store = new DependencyMonitor({ logger, clock, lostEvent: lost, recoveredEvent: regained });
        this.#loop = new FollowLoop({
            source: this,
            clock,
            limits,
            probe,
            onAnswer: () => store.recordSuccess(),
            onFailure: (cause, age) => store.recordFailure(cause, age),
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
    apply(configuration: CellConfiguration, source: string): void {
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

    /** See {@link FollowSource.readAll}. */
    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const news = await this.options.feed.read(signal);
        return { cursor: news.cursor, apply: () => this.#applyUpdate(news) };
    }

    /** See {@link FollowSource.changes}. */
    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const news = await this.options.feed.follow(cursor, wait, signal);
        return news && { cursor: news.cursor, apply: () => this.#applyUpdate(news) };
    }

    #applyUpdate({ configuration, waves }: OperatorUpdate): void {
        if (configuration !== undefined) {
            this.apply(configuration, "store");
        }
        if (waves.length > 0) {
            waves.forEach(wave => this.#waves.set(wave.wave, wave));
            this.options.onWaves(waves);
        }
    }
}
