/** Calls to the platform's store as messages, so that one VM can make them for another. */
import type { ChangeFeed, KeyVersion, Milliseconds, PlatformLeaseId, PlatformStore } from "@pebbledale/core";

/** One call to the store, with its arguments. */
export type StoreOperation =
    | { readonly kind: "get"; readonly key: string; }
    | { readonly kind: "read-all"; readonly prefix: string; }
    | {
        readonly kind: "changes";
        readonly prefix: string;
        readonly cursor: string;
        readonly duration: Milliseconds;
    }
    | {
        readonly kind: "swap";
        readonly key: string;
        readonly expected: KeyVersion;
        readonly value: string;
        readonly lease?: PlatformLeaseId;
    }
    | { readonly kind: "remove"; readonly key: string; readonly expected: KeyVersion; }
    | { readonly kind: "grant"; readonly duration: Milliseconds; }
    | { readonly kind: "renew"; readonly lease: PlatformLeaseId; }
    | { readonly kind: "revoke"; readonly lease: PlatformLeaseId; };

/** Makes the call on a store; resolves to its result. */
export const performOperation = (
    store: PlatformStore & ChangeFeed,
    operation: StoreOperation,
    signal: AbortSignal,
): Promise<unknown> => {
    switch (operation.kind) {
        case "get":
            return store.get(operation.key);
        case "read-all":
            return store.readAll(operation.prefix, signal);
        case "changes":
            return store.changes(operation.prefix, operation.cursor, operation.duration, signal);
        case "swap":
            return store.compareAndSwap(operation.key, operation.expected, operation.value, operation.lease);
        case "remove":
            return store.remove(operation.key, operation.expected);
        case "grant":
            return store.grantLease(operation.duration);
        case "renew":
            return store.renewLease(operation.lease);
        case "revoke":
            return store.revokeLease(operation.lease);
    }
};
