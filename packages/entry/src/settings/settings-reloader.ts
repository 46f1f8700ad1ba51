/** Reloading of the settings file while the process runs. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { isDeepStrictEqual } from "node:util";
import type { EntrySettings } from "./types.js";

/** Interval of reading the file without a signal, in milliseconds. */
const reloadInterval: Milliseconds = 2_000;

/** What a {@link SettingsReloader} depends on. */
export interface SettingsReloaderOptions {
    readonly settings: EntrySettings;
    /** Reads the file; logs why and returns undefined when it cannot be used. */
    readonly read: () => EntrySettings | undefined;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * Reads the settings on a signal and at intervals, as the file may change without one, and logs which settings changed. A file
 * that cannot be read changes nothing.
 */
export class SettingsReloader {
    #settings: EntrySettings;

    constructor(private readonly options: SettingsReloaderOptions) {
        this.#settings = options.settings;
    }

    get settings(): EntrySettings {
        return this.#settings;
    }

    /** `cause` names in the log what led to the reload. */
    reload(cause: string): void {
        const newSettings = this.options.read();
        if (newSettings === undefined || isDeepStrictEqual(newSettings, this.#settings)) {
            return;
        }
        const changed = (Object.keys(newSettings) as (keyof EntrySettings)[])
            .filter(key => !isDeepStrictEqual(newSettings[key], this.#settings[key]));
        this.#settings = newSettings;
        this.options.logger.log(logEvents.settingsReloaded, { cause, changed });
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(reloadInterval, signal);
            this.reload("interval");
        }
    }
}
