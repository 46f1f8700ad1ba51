/** Keeps the accepted settings of a process up to date: from the platform, and from peers while that is silent. */
import {
    type Clock,
    logEvents,
    noRevision,
    parseSettingsTree,
    type PlatformStore,
    readSettings,
    settingsPrefix,
    type SettingsRevision,
    SettingsTree,
    type StoredSettings,
} from "@pebbledale/core";
import type { EventLogger } from "../logging/index.js";

/** What the watch needs. */
export interface SettingsWatchOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly signal: AbortSignal;
    /** Asks all peers; the settings that each holds. */
    readonly askPeers: () => Promise<readonly StoredSettings[]>;
}

/** How long the platform holds a watch, in milliseconds. */
const watchDuration = 20_000;
const retryDelay = 500;

/** The settings in force in this process. The revision only goes up. */
export class SettingsWatch {
    #stored: StoredSettings | undefined;
    #tree = new SettingsTree([]);
    #ready!: () => void;
    /** Resolves once a first revision is in force. */
    readonly ready = new Promise<void>(resolve => {
        this.#ready = resolve;
    });

    constructor(private readonly options: SettingsWatchOptions) {}

    /** The revision in force; 0 before the first. */
    get revision(): SettingsRevision {
        return this.#stored?.revision ?? noRevision;
    }

    /** The tree in force. */
    get tree(): SettingsTree {
        return this.#tree;
    }

    /** What is in force, for peers that ask. */
    get stored(): StoredSettings | undefined {
        return this.#stored;
    }

    /** Takes a revision if it is newer than the one in force and can be read. */
    applyIfNewer(stored: StoredSettings): boolean {
        if (stored.revision <= this.revision) {
            return false;
        }
        return parseSettingsTree(stored.text).match(
            tree => {
                this.#stored = stored;
                this.#tree = tree;
                this.options.logger.log(logEvents.settingsApplied, { revision: stored.revision });
                this.#ready();
                return true;
            },
            findings => {
                this.options.logger.log(logEvents.settingsRefused, { revision: stored.revision, findings });
                return false;
            },
        );
    }

    /** A peer said that it holds a newer revision: asks for it. */
    async noteRevision(revision: SettingsRevision): Promise<void> {
        if (revision > this.revision) {
            await this.learnFromPeers();
        }
    }

    /** Takes the highest revision that any peer holds. */
    async learnFromPeers(): Promise<void> {
        const peerSettings = await this.options.askPeers();
        const highest = [...peerSettings].sort((left, right) => right.revision - left.revision)[0];
        if (highest !== undefined && this.applyIfNewer(highest)) {
            this.options.logger.log(logEvents.settingsFromPeer, { revision: highest.revision });
        }
    }

    /** Watches until the signal fires. */
    async run(): Promise<void> {
        const { store, clock, logger, signal } = this.options;
        let cursor = "";
        while (!signal.aborted) {
            try {
                const stored = await readSettings(store);
                if (stored !== undefined) {
                    this.applyIfNewer(stored);
                }
                const events = await store.watch(settingsPrefix, cursor, watchDuration, signal);
                cursor = events.cursor;
            }
            catch (cause) {
                if (signal.aborted) {
                    return;
                }
                logger.log(logEvents.settingsUnavailable, { cause: String(cause) });
                cursor = "";
                await this.learnFromPeers();
                await clock.sleep(retryDelay, signal);
            }
        }
    }
}
