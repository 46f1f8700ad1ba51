/** The accepted tree as the platform's service holds it, and the race of operators over it. */
import { type SettingsRevision, settingsRevision } from "../ids/index.js";
import {
    absentVersion,
    type KeyValue,
    maxValueBytes,
    type PlatformStore,
    PlatformUnavailableError,
} from "../platform/index.js";
import type { Clock, Milliseconds } from "../time/index.js";

/** Prefix of all keys of settings. */
export const settingsPrefix = "settings/";
/** The key of the tree in force. */
export const settingsHeadKey = `${settingsPrefix}head`;
const historyKeyOf = (revision: SettingsRevision): string => `settings-history/${String(revision).padStart(9, "0")}`;
/** Room that is left beside the text for the other fields. */
const reservedBytes = 4_096;

/** One accepted tree. */
export interface StoredSettings {
    readonly revision: SettingsRevision;
    readonly text: string;
    readonly author: string;
    readonly note: string;
    readonly acceptedAt: string;
    /** Tells this write from every other, to settle a lost answer. */
    readonly nonce: string;
}

/** The revision before any tree was accepted. */
export const noRevision = settingsRevision(0);

/** The outcome of accepting a tree. */
export type AcceptOutcome =
    | { readonly kind: "accepted"; readonly stored: StoredSettings; }
    | { readonly kind: "superseded"; readonly current: StoredSettings | undefined; }
    | { readonly kind: "too-large"; readonly bytes: number; readonly most: number; };

/** Thrown when the platform did not say whether a tree was accepted before the time ran out. */
export class AcceptUnsettledError extends Error {
    override readonly name = "AcceptUnsettledError";
}

const parseStored = (entry: KeyValue | undefined): StoredSettings | undefined =>
    entry === undefined ? undefined : JSON.parse(entry.value) as StoredSettings;

/** Reads the tree in force; undefined when none was ever accepted. */
export const readSettings = async (store: PlatformStore): Promise<StoredSettings | undefined> =>
    parseStored(await store.get(settingsHeadKey));

/** Reads one accepted revision; undefined when it is unknown. */
export const readRevision = async (
    store: PlatformStore,
    revision: SettingsRevision,
): Promise<StoredSettings | undefined> => {
    const head = await readSettings(store);
    return head?.revision === revision ? head : parseStored(await store.get(historyKeyOf(revision)));
};

/** Reads the newest revisions, newest first. */
export const readHistory = async (store: PlatformStore, limit: number): Promise<StoredSettings[]> => {
    const revisions: StoredSettings[] = [];
    let entry = await readSettings(store);
    while (entry !== undefined && revisions.length < limit) {
        revisions.push(entry);
        entry = parseStored(await store.get(historyKeyOf(settingsRevision(entry.revision - 1))));
    }
    return revisions;
};

/** What accepting needs. */
export interface AcceptRequest {
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** The revision that the operator edited. */
    readonly base: SettingsRevision;
    readonly text: string;
    readonly author: string;
    readonly note: string;
    readonly nonce: string;
    /** How long a lost answer is settled by reading before this gives up. */
    readonly settleWithin: Milliseconds;
}

/**
 * Puts a tree in force if `base` still is. An answer that was lost is settled by reading.
 * Rejects with {@link AcceptUnsettledError} when the platform stayed silent.
 */
export const acceptSettings = async (request: AcceptRequest): Promise<AcceptOutcome> => {
    const bytes = Buffer.byteLength(request.text);
    if (bytes > maxValueBytes / 2 - reservedBytes) {
        // JSON may double the text's length; half of the platform's limit always fits.
        return { kind: "too-large", bytes, most: maxValueBytes / 2 - reservedBytes };
    }
    const giveUpAt = request.clock.monotonic() + request.settleWithin;
    while (true) {
        try {
            return await tryAccept(request);
        }
        catch (cause) {
            if (!(cause instanceof PlatformUnavailableError)) {
                throw cause;
            }
            if (request.clock.monotonic() >= giveUpAt) {
                throw new AcceptUnsettledError("the platform did not say whether the settings were accepted", {
                    cause,
                });
            }
            await request.clock.sleep(settleDelay);
        }
    }
};

const settleDelay: Milliseconds = 200;

const tryAccept = async (request: AcceptRequest): Promise<AcceptOutcome> => {
    const { store, base, nonce } = request;
    const head = await store.get(settingsHeadKey);
    const current = parseStored(head);
    if (current?.nonce === nonce) {
        return { kind: "accepted", stored: current };
    }
    if ((current?.revision ?? noRevision) !== base) {
        // This write may have been accepted and then replaced by another operator's: the history tells.
        const earlier = parseStored(await store.get(historyKeyOf(settingsRevision(base + 1))));
        return earlier?.nonce === nonce ? { kind: "accepted", stored: earlier } : { kind: "superseded", current };
    }
    if (head !== undefined) {
        // The history is written before the head is replaced, so no accepted revision is ever missing from it.
        await store.compareAndSwap(historyKeyOf(base), absentVersion, head.value);
    }
    const stored: StoredSettings = {
        revision: settingsRevision(base + 1),
        text: request.text,
        author: request.author,
        note: request.note,
        acceptedAt: request.clock.now().toISOString(),
        nonce,
    };
    const outcome = await store.compareAndSwap(settingsHeadKey, head?.version ?? absentVersion, JSON.stringify(stored));
    if (outcome.kind === "swapped") {
        return { kind: "accepted", stored };
    }
    const winner = parseStored(outcome.current);
    return winner?.nonce === nonce ? { kind: "accepted", stored: winner } : { kind: "superseded", current: winner };
};
