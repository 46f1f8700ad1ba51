/** Interfaces to the platform's key-value store, implemented by one adapter per actual store. */
import type { Branded } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** Version of a key; 0 means that it does not exist. Of two keys, the one that was written later has the higher version. */
export type KeyVersion = Branded<number, "KeyVersion">;
/** Id of a lease in the platform's store. */
export type PlatformLeaseId = Branded<string, "PlatformLeaseId">;

/** Expected version for a write that must create the key. */
export const absentVersion = 0 as KeyVersion;
/** Maximum size of a value in the platform's store, in bytes. */
export const maxValueBytes = 1_000_000;

/** A key with its value and version. */
export interface KeyValue {
    readonly key: string;
    readonly value: string;
    readonly version: KeyVersion;
}

/** Result of an answered compare-and-swap. */
export type SwapOutcome =
    | { readonly kind: "swapped"; readonly version: KeyVersion; }
    | { readonly kind: "conflict"; readonly current: KeyValue | undefined; };

/** Keys that a watch saw change. Pass `cursor` to the next call. */
export interface WatchEvents {
    readonly cursor: string;
    readonly changed: readonly string[];
}

/** Thrown when a call was not answered. It may or may not have taken effect. */
export class PlatformUnavailableError extends Error {
    override readonly name = "PlatformUnavailableError";
}

/** The platform's key-value store. All calls reject with {@link PlatformUnavailableError} when they are not answered. */
export interface PlatformStore {
    get(key: string): Promise<KeyValue | undefined>;
    /** Reads all keys that begin with `prefix`, in key order. */
    list(prefix: string): Promise<readonly KeyValue[]>;
    /** Writes `value` if the key's version is `expected`. With `lease`, the key is deleted when the lease ends. */
    compareAndSwap(key: string, expected: KeyVersion, value: string, lease?: PlatformLeaseId): Promise<SwapOutcome>;
    /** Deletes the key if its version is `expected`; resolves to whether it was deleted. */
    remove(key: string, expected: KeyVersion): Promise<boolean>;
    /** Creates a lease that ends `duration` after its last renewal. */
    grantLease(duration: Milliseconds): Promise<PlatformLeaseId>;
    /** Renews a lease; resolves to false when it has ended. */
    renewLease(lease: PlatformLeaseId): Promise<boolean>;
    /** Ends a lease and deletes all its keys. */
    revokeLease(lease: PlatformLeaseId): Promise<void>;
    /**
     * Waits up to `duration` for a change below `prefix` after `cursor`.
     * With an empty or outdated cursor it resolves at once with the current cursor, and the caller must read the keys.
     */
    watch(prefix: string, cursor: string, duration: Milliseconds, signal: AbortSignal): Promise<WatchEvents>;
}

/** Keys below a prefix, with the cursor from which to follow changes. */
export interface KeysAtCursor {
    readonly entries: readonly KeyValue[];
    readonly cursor: string;
}

/** Changes below a prefix since a cursor. */
export interface KeyChanges {
    readonly changed: readonly KeyValue[];
    readonly removed: readonly string[];
    readonly cursor: string;
}

/** Follows keys and their values. All calls reject with {@link PlatformUnavailableError} when they are not answered. */
export interface ChangeFeed {
    /** Reads all keys that begin with `prefix`. Not a consistent snapshot: apply the changes since the returned cursor. */
    readAll(prefix: string, signal?: AbortSignal): Promise<KeysAtCursor>;
    /** Waits up to `duration` for changes; undefined when the history since the cursor is gone and all must be read again. */
    changes(
        prefix: string,
        cursor: string,
        duration: Milliseconds,
        signal: AbortSignal,
    ): Promise<KeyChanges | undefined>;
}
