/** Reading and accepting the settings tree through the platform's service. */
import {
    acceptSettings,
    AcceptUnsettledError,
    diffSettings,
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
} from "@pebbledale/core";
import { HttpPlatformStore } from "@pebbledale/runtime";
import type { OperatorValues } from "../cli/operator-command.js";
import { OperatorError } from "../output/index.js";

/** How long a lost answer is settled by reading, in milliseconds. */
const settleWithin = 10_000;

/** Makes calls to the platform, with its silence shown as an error of the catalogue. */
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

/** The tree in force, or one of an earlier revision. */
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

/** The newest accepted trees, newest first. */
export const fetchHistory = (values: OperatorValues, limit: number): Promise<StoredSettings[]> =>
    withStore(values, store => readHistory(store, limit));

/** The tree of an accepted revision; the schema it was accepted under may have been older. */
export const parseStoredTree = (stored: StoredSettings | undefined): SettingsTree =>
    stored === undefined ? new SettingsTree([]) : parseSettingsTree(stored.text).unwrapOr(new SettingsTree([]));

/** Differences between the tree in force and a text. */
export const diffWithCurrent = async (
    values: OperatorValues,
    tree: SettingsTree,
): Promise<{ base: number; rows: readonly SettingsDifference[]; }> => {
    const stored = await withStore(values, readSettings);
    return { base: stored?.revision ?? 0, rows: diffSettings(parseStoredTree(stored), tree) };
};

/** Who accepts what on top of which revision. */
export interface AcceptInput {
    readonly text: string;
    readonly base: number;
    readonly author: string;
    readonly note: string;
}

/** Puts a text in force, or says who was first. */
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
