/** Storage of settings revisions in the platform's store, with optimistic concurrency between operators. */
import { type SettingsRevision, settingsRevision } from "../ids/index.js";
import {
    absentVersion,
    type KeyValue,
    maxValueBytes,
    type PlatformStore,
    PlatformUnavailableError,
} from "../platform/index.js";
import type { Clock, Milliseconds } from "../time/index.js";

/** Key prefix to watch for new revisions. The history is stored outside of it. */
export const settingsPrefix = "settings/";
/** Key of the current revision. */
export const settingsHeadKey = `${settingsPrefix}head`;
const historyKeyOf = (revision: SettingsRevision): string => `settings-history/${String(revision).padStart(9, "0")}`;
/** Bytes reserved for the fields other than the text. */
const reservedBytes = 4_096;

/** An accepted revision of the settings tree. */
export interface StoredSettings {
    readonly revision: SettingsRevision;
    readonly text: string;
    readonly author: string;
    readonly note: string;
    readonly acceptedAt: string;
    /** Unique per write; tells after a lost answer whether the write succeeded. */
    readonly nonce: string;
}

/** Revision number before the first tree is accepted. */
export const noRevision = settingsRevision(0);

/** Result of {@link acceptSettings}. `superseded` means that the given base is no longer the current revision. */
export type AcceptOutcome =
    | { readonly kind: "accepted"; readonly stored: StoredSettings; }
    | { readonly kind: "superseded"; readonly current: StoredSettings | undefined; }
    | { readonly kind: "too-large"; readonly bytes: number; readonly most: number; };

/** Thrown when it could not be determined in time whether a tree was accepted. */
export class AcceptUnsettledError extends Error {
    override readonly name = "AcceptUnsettledError";
}

const parseStored = (entry: KeyValue | undefined): StoredSettings | undefined =>
    entry === undefined ? undefined : JSON.parse(entry.value) as StoredSettings;

/** Reads the current revision; undefined when none was ever accepted. */
export const readSettings = async (store: PlatformStore): Promise<StoredSettings | undefined> =>
    parseStored(await store.get(settingsHeadKey));

/** Reads a given revision; undefined when it does not exist. */
export const readRevision = async (
    store: PlatformStore,
    revision: SettingsRevision,
): Promise<StoredSettings | undefined> => {
    const head = await readSettings(store);
    return head?.revision === revision ? head : parseStored(await store.get(historyKeyOf(revision)));
};

/** Reads up to `limit` revisions, newest first. */
export const readHistory = async (store: PlatformStore, limit: number): Promise<StoredSettings[]> => {
    const revisions: StoredSettings[] = [];
    let entry = await readSettings(store);
    while (entry !== undefined && revisions.length < limit) {
        revisions.push(entry);
        entry = parseStored(await store.get(historyKeyOf(settingsRevision(entry.revision - 1))));
    }
    return revisions;
};

/** A new settings text with its metadata and the dependencies to store it. */
export interface AcceptRequest {
    readonly store: PlatformStore;
    readonly clock: Clock;
    /** The revision that the text was edited from. */
    readonly base: SettingsRevision;
    readonly text: string;
    readonly author: string;
    readonly note: string;
    readonly nonce: string;
    /** How long to retry after lost answers before giving up. */
    readonly settleWithin: Milliseconds;
}

/**
 * Makes a text the current revision if `base` still is. After a lost answer, reads back whether the write succeeded.
 * Rejects with {@link AcceptUnsettledError} when the platform does not answer in time.
 */
export const acceptSettings = async (request: AcceptRequest): Promise<AcceptOutcome> => {
    const bytes = Buffer.byteLength(request.text);
    if (bytes > maxValueBytes / 2 - reservedBytes) {
        // JSON escaping may double the length of the text, so half of the platform's limit always fits.
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
        // This write may have succeeded and then been replaced by another operator's. The history shows it.
        const earlier = parseStored(await store.get(historyKeyOf(settingsRevision(base + 1))));
        return earlier?.nonce === nonce ? { kind: "accepted", stored: earlier } : { kind: "superseded", current };
    }
    if (head !== undefined) {
        // The history is written before the head is replaced, so that it never lacks an accepted revision.
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
