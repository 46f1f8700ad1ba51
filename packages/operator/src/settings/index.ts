/** Reads and changes the settings tree in the platform's key-value service. */
import {
    acceptSettings,
    AcceptUnsettledError,
    diffSettings,
    formatFinding,
    parseSettingsTree,
    type PlatformStore,
    PlatformUnavailableError,
    readHistory,
    readRevision,
    readSettings,
    type SettingsDifference,
    settingsRevision,
    SettingsTree,
    type StoredSettings,
    SystemClock,
    SystemRandom,
    type TreePath,
} from "@pebbledale/core";
import { HttpPlatformStore } from "@pebbledale/runtime";
import { readFileSync } from "node:fs";
import type { OperatorValues } from "../cli/operator-command.js";
import { OperatorError } from "../output/index.js";

/** Maximum time of the reads that find out whether a write without an answer took effect, in milliseconds. */
const settleWithin = 10_000;

/** Runs `action` with a connection to the platform; an unavailable platform becomes an {@link OperatorError}. */
export const withStore = async <Answer>(
    values: OperatorValues,
    action: (store: PlatformStore) => Promise<Answer>,
): Promise<Answer> => {
    const store = new HttpPlatformStore(values["platform.address"], values["platform.timeout"]);
    try {
        return await action(store);
    }
    catch (cause) {
        if (cause instanceof PlatformUnavailableError || cause instanceof AcceptUnsettledError) {
            throw new OperatorError("platform-unavailable", cause.message);
        }
        throw cause;
    }
    finally {
        await store.close();
    }
};

/** Fetches the settings in force or an earlier revision; rejects with {@link OperatorError} if there is none. */
export const fetchSettings = (values: OperatorValues, revision?: number): Promise<StoredSettings> =>
    withStore(values, async store => {
        const stored = revision === undefined
            ? await readSettings(store)
            : await readRevision(store, settingsRevision(revision));
        if (stored === undefined) {
            throw new OperatorError(revision === undefined ? "no-settings" : "unknown-revision");
        }
        return stored;
    });

/** Fetches the last accepted revisions, at most `limit`, newest first. */
export const fetchHistory = (values: OperatorValues, limit: number): Promise<StoredSettings[]> =>
    withStore(values, store => readHistory(store, limit));

/**
 * Parses an accepted tree; empty if there is none. Throws an {@link OperatorError} with the findings if it was accepted under another
 * schema and is invalid now.
 */
export const parseStoredTree = (stored: StoredSettings | undefined): SettingsTree => {
    if (stored === undefined) {
        return new SettingsTree([]);
    }
    const parsed = parseSettingsTree(stored.text, `revision ${stored.revision}`);
    if (parsed.isErr()) {
        throw new OperatorError("unreadable-settings", parsed.error.map(formatFinding).join("\n"));
    }
    return parsed.value;
};

/** Reads and parses a file with a settings tree; throws an {@link OperatorError} that names a file which cannot be read. */
export const readTreeFile = (file: string): { text: string; parsed: ReturnType<typeof parseSettingsTree>; } => {
    const text = readText(file);
    return { text, parsed: parseSettingsTree(text, file) };
};

const readText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    }
    catch (cause) {
        throw new OperatorError("unreadable-file", `${file}: ${(cause as Error).message}`);
    }
};

/** Parses `REGION/SITE`, which may be empty for none; throws an {@link OperatorError} for any other form. */
export const parseSite = (text: string): Pick<TreePath, "region" | "site"> => {
    if (text === "") {
        return {};
    }
    const [region, site, ...rest] = text.split("/");
    if (region === "" || site === undefined || site === "" || rest.length > 0) {
        throw new OperatorError("bad-site", text);
    }
    return { region, site };
};

/** Compares the settings in force with a parsed tree. `base`: the revision in force, 0 if there is none. */
export const diffWithCurrent = async (
    values: OperatorValues,
    tree: SettingsTree,
): Promise<{ base: number; rows: readonly SettingsDifference[]; }> => {
    const stored = await withStore(values, readSettings);
    return { base: stored?.revision ?? 0, rows: diffSettings(parseStoredTree(stored), tree) };
};

/** A settings text to accept. `base`: the revision that was edited. */
export interface AcceptInput {
    readonly text: string;
    readonly base: number;
    readonly author: string;
    readonly note: string;
}

/** Puts a text in force if `base` is still the current revision and the text is not too large. */
export const acceptTree = (values: OperatorValues, input: AcceptInput) =>
    withStore(values, store =>
        acceptSettings({
            store,
            clock: new SystemClock(),
            base: settingsRevision(input.base),
            text: input.text,
            author: input.author,
            note: input.note,
            nonce: new SystemRandom().name(),
            settleWithin,
        }));
