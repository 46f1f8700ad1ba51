/** Keeps the newest configuration known to this VM. */
import {
    type CellConfiguration,
    type ConfigurationFeed,
    type OperatorUpdate,
    QueueDirectory,
    type UpkeepWave,
} from "@pebbledale/cell";
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import type { HallClosureWatch } from "../data-halls/index.js";
import {
    type FollowedUpdate,
    type FollowLimits,
    FollowLoop,
    type FollowSource,
    type StoreProbe,
} from "../following/index.js";
import { DependencyMonitor } from "../observability/index.js";
import type { OperatorsCopy, OwnerConfirmation } from "./owner-confirmation.js";

/**
 * After another VM has announced a newer configuration, wait this long for it to arrive from the store before fetching it from that
 * VM, in milliseconds. A configuration may have half a megabyte, and the store usually delivers it to all VMs within a few milliseconds.
 */
export const configurationFetchDelay: Milliseconds = 100;

/** What a {@link ConfigurationWatch} depends on. */
export interface ConfigurationWatchOptions {
    readonly feed: ConfigurationFeed;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Timeouts of the loop that follows the store. */
    readonly limits: FollowLimits;
    readonly probe: StoreProbe;
    /** Called with each newer configuration. */
    readonly onChange: (configuration: CellConfiguration) => void;
    /** Called with waves of upkeep as they are read from the store. */
    readonly onWaves: (waves: readonly UpkeepWave[]) => void;
    readonly halls: HallClosureWatch;
    /** Lets the owner confirm this VM's copy; undefined where every VM reads the store by itself. */
    readonly confirmation?: OwnerConfirmation | undefined;
}

/**
 * Keeps the newest configuration seen in the store, at the owner or at another VM. Versions only grow: an older configuration is
 * ignored, wherever it comes from. Also collects the waves of upkeep that the store lists.
 */
export class ConfigurationWatch implements FollowSource {
    #queues: QueueDirectory | undefined;
    readonly #waves = new Map<number, UpkeepWave>();
    readonly #loop: FollowLoop;
    /** Revision up to which the copy is complete, and when the store last confirmed it to this VM itself. */
    #read: { readonly cursor: string; readonly at: Milliseconds; } | undefined;
    /** Revision of the last reading or copy that brought waves. */
    #wavesReadAt = 0;
    /** Age of the owner's copy when it last confirmed this one; 0 after a reading of the store. */
    #confirmedAge: Milliseconds = 0;

    constructor(private readonly options: ConfigurationWatchOptions) {
        const { logger, clock, limits, probe } = options;
        const { storeUnreachable: lostEvent, storeReachable: recoveredEvent } = logEvents;
        const store = new DependencyMonitor({ logger, clock, lostEvent, recoveredEvent });
        this.#loop = new FollowLoop({
            source: this,
            clock,
            limits,
            probe,
            onAnswer: () => store.recordSuccess(),
            onFailure: (cause, age) => store.recordFailure(cause, age),
        });
    }

    /** Time since the store last answered; undefined before its first answer. */
    get age(): Milliseconds | undefined {
        const age = this.#loop.age;
        return age === undefined ? undefined : age + this.#confirmedAge;
    }

    /**
     * What this VM has read from the store by itself, without waves for a VM whose copy, complete up to revision `since`, holds them all;
     * undefined before its first reading.
     */
    copyFor(since: string | undefined): OperatorsCopy | undefined {
        const hasAllWaves = since !== undefined && Number(since) >= this.#wavesReadAt;
        return this.#read && {
            cursor: this.#read.cursor,
            age: this.options.clock.monotonic() - this.#read.at,
            version: this.configuration?.version ?? 0,
            closures: this.options.halls.closures,
            waves: hasAllWaves ? [] : this.waves,
        };
    }

    get queues(): QueueDirectory | undefined {
        return this.#queues;
    }

    get configuration(): CellConfiguration | undefined {
        return this.#queues?.configuration;
    }

    get waves(): readonly UpkeepWave[] {
        return [...this.#waves.values()];
    }

    /** Puts a configuration into force if it is newer. `source` names in the log where it was seen. */
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

    run(signal: AbortSignal): Promise<void> {
        return this.#loop.run(signal);
    }

    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const update = await this.options.feed.read(signal);
        return {
            cursor: update.cursor,
            apply: () => {
                this.options.halls.replace(update.halls);
                this.#applyUpdate(update);
                this.#recordReading(update.cursor);
            },
        };
    }

    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const { clock, confirmation } = this.options;
        if (confirmation === undefined) {
            return this.#follow(cursor, wait, signal);
        }
        const startedAt = clock.monotonic();
        const copy = await confirmation.confirm(wait, cursor, owners => this.#holds(owners), signal);
        if (copy !== undefined) {
            // The owner's last reading may be older than this VM's, which is then complete up to the later revision.
            const isNewer = Number(copy.cursor) > Number(cursor);
            return { cursor: isNewer ? copy.cursor : cursor, apply: () => this.#applyCopy(copy, isNewer) };
        }
        const left = Math.max(0, wait - (clock.monotonic() - startedAt));
        return this.#follow(cursor, Math.round(left), signal);
    }

    async #follow(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const update = await this.options.feed.follow(cursor, wait, signal);
        return update && {
            cursor: update.cursor,
            apply: () => {
                this.options.halls.change(update.halls);
                this.#applyUpdate(update);
                this.#recordReading(update.cursor);
            },
        };
    }

    /** Whether this VM knows the configuration of the owner's copy, or a newer one. Closures and waves come with the copy. */
    #holds({ version }: OperatorsCopy): boolean {
        return (this.configuration?.version ?? 0) >= version;
    }

    #applyCopy({ cursor, closures, waves, age }: OperatorsCopy, isNewer: boolean): void {
        if (isNewer) {
            this.#addWaves(waves, cursor);
            this.options.halls.replace({ closed: closures.halls, reopened: [], revision: closures.revision });
        }
        this.#confirmedAge = age;
    }

    #recordReading(cursor: string): void {
        this.#read = { cursor, at: this.options.clock.monotonic() };
        this.#confirmedAge = 0;
    }

    #applyUpdate({ configuration, waves, cursor }: OperatorUpdate): void {
        if (configuration !== undefined) {
            this.apply(configuration, "store");
        }
        this.#addWaves(waves, cursor);
    }

    #addWaves(waves: readonly UpkeepWave[], cursor: string): void {
        if (waves.length > 0) {
            this.#wavesReadAt = Number(cursor);
            waves.forEach(wave => this.#waves.set(wave.wave, wave));
            this.options.onWaves(waves);
        }
    }
}
