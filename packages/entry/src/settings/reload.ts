/** Reads the settings again when it is asked to, and now and then by itself: the file may change without a sign. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { isDeepStrictEqual } from "node:util";
import type { EntrySettings } from "./types.js";

/** Time between two readings without a sign, in milliseconds. */
const reloadInterval: Milliseconds = 2_000;

/** What a reload needs. */
export interface SettingsReloaderOptions {
    readonly settings: EntrySettings;
    /** Reads the file; undefined, after it has logged why, when it cannot be read. */
    readonly read: () => EntrySettings | undefined;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/** See the module's comment. A file that cannot be read changes nothing. */
export class SettingsReloader {
    #settings: EntrySettings;

    constructor(private readonly options: SettingsReloaderOptions) {
        this.#settings = options.settings;
    }

    /** The settings as last read. */
    get settings(): EntrySettings {
        return this.#settings;
    }

    /** Reads the file now. */
    reload(cause: string): void {
        const fresh = this.options.read();
        if (fresh === undefined || isDeepStrictEqual(fresh, this.#settings)) {
            return;
        }
        const changed = (Object.keys(fresh) as (keyof EntrySettings)[])
            .filter(key => !isDeepStrictEqual(fresh[key], this.#settings[key]));
        this.#settings = fresh;
        this.options.logger.log(logEvents.settingsReloaded, { cause, changed });
    }

    /** Reads the file now and then until `signal` fires. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(reloadInterval, signal);
            this.reload("interval");
        }
    }
}
