/** The platform's key-value service as the product sees it. One adapter implements it for each real service. */
import type { Branded } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** Version of one key: grows with each write of the key; 0 means that the key does not exist. */
export type KeyVersion = Branded<number, "KeyVersion">;
/** Names a lease of the platform. */
export type PlatformLeaseId = Branded<string, "PlatformLeaseId">;

/** The version of a key that does not exist. */
export const absentVersion = 0 as KeyVersion;
/** Largest value in bytes that the platform's service holds. */
export const maxValueBytes = 1_000_000;

/** One key with its value. */
export interface KeyValue {
    readonly key: string;
    readonly value: string;
    readonly version: KeyVersion;
}

/** What became of a compare-and-swap that got an answer. */
export type SwapOutcome =
    | { readonly kind: "swapped"; readonly version: KeyVersion; }
    | { readonly kind: "conflict"; readonly current: KeyValue | undefined; };

/** What a watch saw. `cursor` is passed to the next call. */
export interface WatchEvents {
    readonly cursor: string;
    readonly changed: readonly string[];
}

/** Thrown when a call got no answer: it may or may not have taken effect. */
export class PlatformUnavailableError extends Error {
    override readonly name = "PlatformUnavailableError";
}

/** Calls of the platform's service. Each rejects with {@link PlatformUnavailableError} when no answer came. */
export interface PlatformStore {
    /** Reads one key. */
    get(key: string): Promise<KeyValue | undefined>;
    /** Reads all keys that begin with `prefix`, in the order of the keys. */
    list(prefix: string): Promise<readonly KeyValue[]>;
    /** Writes `value` if the key's version is `expected`. With `lease`, the key goes when the lease ends. */
    compareAndSwap(key: string, expected: KeyVersion, value: string, lease?: PlatformLeaseId): Promise<SwapOutcome>;
    /** Deletes the key if its version is `expected`; resolves to whether it is gone. */
    remove(key: string, expected: KeyVersion): Promise<boolean>;
    /** Makes a lease that ends `duration` after its last renewal. */
    grantLease(duration: Milliseconds): Promise<PlatformLeaseId>;
    /** Renews a lease; resolves to false when it has already ended. */
    renewLease(lease: PlatformLeaseId): Promise<boolean>;
    /** Ends a lease and all its keys. */
    revokeLease(lease: PlatformLeaseId): Promise<void>;
    /**
     * Waits at most `duration` for a change below `prefix` after `cursor`.
     * With the cursor `""`, or one that is too old, it resolves at once with the present cursor: the caller then reads.
     */
    watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents>;
}

/** Keys below a prefix, with where {@link ChangeFeed.changes} goes on. */
export interface KeysAtCursor {
    readonly entries: readonly KeyValue[];
    readonly cursor: string;
}

/** What changed below a prefix since a cursor. */
export interface KeyChanges {
    readonly changed: readonly KeyValue[];
    readonly removed: readonly string[];
    readonly cursor: string;
}

/** Follows keys with their values. Each call rejects with {@link PlatformUnavailableError} when no answer came. */
export interface ChangeFeed {
    /** Reads all keys that begin with `prefix`. Pages are no snapshot: changes from the cursor on are to be taken in. */
    readAll(prefix: string, signal?: AbortSignal): Promise<KeysAtCursor>;
    /** Waits at most `duration` for changes; undefined when the history since the cursor is gone: read all again. */
    changes(
        prefix: string,
        cursor: string,
        duration: Milliseconds,
        signal: AbortSignal,
    ): Promise<KeyChanges | undefined>;
}
