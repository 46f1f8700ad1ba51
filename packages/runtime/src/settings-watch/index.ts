/** Keeps the settings of a process up to date. */
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

/** Dependencies of {@link SettingsWatch}. */
export interface SettingsWatchOptions {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly signal: AbortSignal;
    /** Requests the current settings of all peers; peers without an answer are left out. */
    readonly fetchPeerSettings: () => Promise<readonly StoredSettings[]>;
}

/** Duration of one long poll for changes, in milliseconds. */
const watchDuration = 20_000;
const retryDelay = 500;

/**
 * The settings in force in this process, followed on the platform and fetched from peers while the platform is
 * unavailable. The revision never decreases.
 */
export class SettingsWatch {
    #stored: StoredSettings | undefined;
    #tree = new SettingsTree([]);
    #ready!: () => void;
    /** Resolves once the first revision is in force. */
    readonly ready = new Promise<void>(resolve => {
        this.#ready = resolve;
    });

    constructor(private readonly options: SettingsWatchOptions) {}

    /** 0 before the first revision is in force. */
    get revision(): SettingsRevision {
        return this.#stored?.revision ?? noRevision;
    }

    get tree(): SettingsTree {
        return this.#tree;
    }

    /** The revision in force with its text, for peers. */
    get stored(): StoredSettings | undefined {
        return this.#stored;
    }

    /** Applies a revision if it is newer than the one in force and valid; returns whether it was applied. */
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

    /** Handles the revision that a peer reported: fetches it if it is newer than the one in force. */
    async onPeerRevision(revision: SettingsRevision): Promise<void> {
        if (revision > this.revision) {
            await this.fetchFromPeers();
        }
    }

    /** Applies the highest revision that any peer has. */
    async fetchFromPeers(): Promise<void> {
        const peerSettings = await this.options.fetchPeerSettings();
        const highest = [...peerSettings].sort((left, right) => right.revision - left.revision)[0];
        if (highest !== undefined && this.applyIfNewer(highest)) {
            this.options.logger.log(logEvents.settingsFromPeer, { revision: highest.revision });
        }
    }

    /** Follows the settings until the signal aborts. */
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
                await this.fetchFromPeers();
                await clock.sleep(retryDelay, signal);
            }
        }
    }
}
