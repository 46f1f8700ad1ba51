/** Reloading of the settings file while the process runs. */
import { type Clock, logEvents, type Milliseconds } from "@pebbledale/core";
import type { EventLogger } from "@pebbledale/runtime";
import { isDeepStrictEqual } from "node:util";
import type { EntrySettings } from "./types.js";

/** Interval of reading the file without a signal, in milliseconds. */
const reloadInterval: Milliseconds = 2_000;

const isGroup = (value: unknown): value is Readonly<Record<string, unknown>> =>
    value instanceof Object && Object.getPrototypeOf(value) === Object.prototype;

/** Names of the settings that differ, those within a group as `group.name`. */
const findDifferences = (left: object, right: object, prefix = ""): string[] => {
    const [leftValues, rightValues] = [left, right] as Readonly<Record<string, unknown>>[];
    return [...new Set([...Object.keys(left), ...Object.keys(right)])].flatMap(key => {
        const [before, after] = [leftValues[key], rightValues[key]];
        if (isDeepStrictEqual(before, after)) {
            return [];
        }
        return isGroup(before) && isGroup(after)
            ? findDifferences(before, after, `${prefix}${key}.`)
            : [`${prefix}${key}`];
    });
};

/** What a {@link SettingsReloader} depends on. */
export interface SettingsReloaderOptions {
    /** The settings that the process started with and uses until its end. */
    readonly settings: EntrySettings;
    /** Reads the file; logs why and returns undefined when it cannot be used. */
    readonly read: () => EntrySettings | undefined;
    readonly clock: Clock;
    readonly logger: EventLogger;
}

/**
 * Reads the settings on a signal and at intervals, as the file may change without one, and logs which settings changed and
 * which of them differ from those in use. The process uses the settings that it started with: addresses, limits and data halls are
 * known to its connections and its peers. A file that cannot be read changes nothing.
 */
export class SettingsReloader {
    #settings: EntrySettings;

    constructor(private readonly options: SettingsReloaderOptions) {
        this.#settings = options.settings;
    }

    /** `cause` names in the log what led to the reload. */
    reload(cause: string): void {
        const newSettings = this.options.read();
        if (newSettings === undefined || isDeepStrictEqual(newSettings, this.#settings)) {
            return;
        }
        const changed = findDifferences(this.#settings, newSettings);
        this.#settings = newSettings;
        const needRestart = findDifferences(this.options.settings, newSettings);
        this.options.logger.log(logEvents.settingsReloaded, { cause, changed, needRestart });
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(reloadInterval, signal);
            this.reload("interval");
        }
    }
}
