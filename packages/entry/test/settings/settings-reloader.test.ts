import { logEvents, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { type EntrySettings, SettingsReloader } from "../../src/index.js";

const settings = {
    vm: "vm-1",
    memoryMebibytes: 512,
    bounds: { gangWait: 1_000, upkeepTime: 2_000 },
} as EntrySettings;

const setUp = () => {
    const lines: { readonly event: number; readonly fields: unknown; }[] = [];
    const file = { settings: settings as EntrySettings | undefined };
    const reloader = new SettingsReloader({
        settings,
        read: () => file.settings,
        clock: new ManualClock(),
        logger: { log: ({ number }, fields) => lines.push({ event: number, fields }) },
    });
    return { lines, file, reloader };
};

describe("reloaded settings", () => {
    it("are logged with the names of those that differ from the ones in use until the process is restarted", () => {
        const { lines, file, reloader } = setUp();
        file.settings = { ...settings, memoryMebibytes: 256, bounds: { ...settings.bounds, gangWait: 500 } };
        reloader.reload("SIGHUP");
        reloader.reload("interval");
        file.settings = { ...file.settings, memoryMebibytes: 512 };
        reloader.reload("interval");
        file.settings = settings;
        reloader.reload("interval");
        const event = logEvents.settingsReloaded.number;
        expect(lines).toEqual([
            {
                event,
                fields: {
                    cause: "SIGHUP",
                    changed: ["memoryMebibytes", "bounds.gangWait"],
                    needRestart: ["memoryMebibytes", "bounds.gangWait"],
                },
            },
            { event, fields: { cause: "interval", changed: ["memoryMebibytes"], needRestart: ["bounds.gangWait"] } },
            { event, fields: { cause: "interval", changed: ["bounds.gangWait"], needRestart: [] } },
        ]);
    });

    it("that cannot be used change nothing", () => {
        const { lines, file, reloader } = setUp();
        file.settings = undefined;
        reloader.reload("SIGHUP");
        expect(lines).toEqual([]);
    });
});
