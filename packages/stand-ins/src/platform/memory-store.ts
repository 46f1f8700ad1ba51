/** In-memory implementation of the key-value service. */
import type { KeyValue, KeyVersion, Milliseconds, PlatformLeaseId, SwapOutcome, WatchEvents } from "@pebbledale/core";

interface LeaseEntry {
    readonly duration: Milliseconds;
    expiresAt: Milliseconds;
    readonly keys: Set<string>;
}

interface Change {
    readonly sequence: number;
    readonly key: string;
}

interface ChangeListener {
    readonly prefix: string;
    readonly notify: () => void;
}

/**
 * Number of changes kept for watches. A watch with an older cursor gets no list of changes and has to read all keys again.
 */
const maxRetainedChanges = 10_000;

/**
 * Versioned keys with compare-and-swap, leases and change notifications. It has no clock of its own: calls that depend
 * on time receive the current monotonic time.
 */
export class MemoryStore {
    readonly #entries = new Map<string, KeyValue>();
    /** Shared by all keys, so that a key that is deleted and created again never repeats a version. */
    #lastVersion = 0;
    readonly #leases = new Map<PlatformLeaseId, LeaseEntry>();
    readonly #changes: Change[] = [];
    readonly #listeners = new Set<ChangeListener>();
    #nextSequence = 1;
    #nextLeaseNumber = 1;

    get(key: string): KeyValue | undefined {
        return this.#entries.get(key);
    }

    list(prefix: string): KeyValue[] {
        return [...this.#entries.values()]
            .filter(entry => entry.key.startsWith(prefix))
            .sort((left, right) => left.key < right.key ? -1 : 1);
    }

    /**
     * Writes a key if it has the expected version (0: does not exist). The key is attached to the lease of this write
     * and detached from any earlier one.
     */
    swap(key: string, expected: number, value: string, lease?: PlatformLeaseId): SwapOutcome {
        const current = this.#entries.get(key);
        if ((current?.version ?? 0) !== expected) {
            return { kind: "conflict", current };
        }
        const leaseEntry = lease === undefined ? undefined : this.#leases.get(lease);
        if (lease !== undefined && leaseEntry === undefined) {
            return { kind: "conflict", current };
        }
        this.#leases.forEach(other => other.keys.delete(key));
        leaseEntry?.keys.add(key);
        const version = ++this.#lastVersion as KeyVersion;
        this.#entries.set(key, { key, value, version });
        this.#recordChange(key);
        return { kind: "swapped", version };
    }

    /** Deletes a key if it has the expected version; also returns true when the key does not exist. */
    remove(key: string, expected: number): boolean {
        const current = this.#entries.get(key);
        if (current === undefined) {
            return true;
        }
        if (current.version !== expected) {
            return false;
        }
        this.#leases.forEach(lease => lease.keys.delete(key));
        this.#entries.delete(key);
        this.#recordChange(key);
        return true;
    }

    grantLease(duration: Milliseconds, now: Milliseconds): PlatformLeaseId {
        const lease = `lease-${this.#nextLeaseNumber++}` as PlatformLeaseId;
        this.#leases.set(lease, { duration, expiresAt: now + duration, keys: new Set() });
        return lease;
    }

    /** Extends a lease by its duration; false when it has expired or was revoked. */
    renewLease(lease: PlatformLeaseId, now: Milliseconds): boolean {
        const entry = this.#leases.get(lease);
        if (entry !== undefined) {
            entry.expiresAt = now + entry.duration;
        }
        return entry !== undefined;
    }

    /** Ends a lease and deletes the keys attached to it. */
    revokeLease(lease: PlatformLeaseId): void {
        const entry = this.#leases.get(lease);
        this.#leases.delete(lease);
        entry?.keys.forEach(key => {
            this.#entries.delete(key);
            this.#recordChange(key);
        });
    }

    /** Revokes all leases whose duration has passed. */
    expire(now: Milliseconds): void {
        for (const [name, lease] of this.#leases) {
            if (lease.expiresAt <= now) {
                this.revokeLease(name);
            }
        }
    }

    /**
     * Changes below a prefix since a cursor; undefined when there are none. An empty or outdated cursor gives the current
     * cursor without changes.
     */
    changesAfter(prefix: string, cursor: string): WatchEvents | undefined {
        const after = Number(cursor);
        const oldest = this.#changes[0]?.sequence ?? this.#nextSequence;
        if (cursor === "" || after < oldest - 1) {
            return { cursor: String(this.#nextSequence - 1), changed: [] };
        }
        const changed = this.#changes.filter(change => change.sequence > after && change.key.startsWith(prefix));
        return changed.length === 0
            ? undefined
            : { cursor: String(this.#nextSequence - 1), changed: changed.map(change => change.key) };
    }

    /** The position of the latest change. */
    cursor(): string {
        return String(this.#nextSequence - 1);
    }

    /** Calls `notify` at each change below a prefix until the returned function is called. */
    onChange(prefix: string, notify: () => void): () => void {
        const listener = { prefix, notify };
        this.#listeners.add(listener);
        return () => this.#listeners.delete(listener);
    }

    #recordChange(key: string): void {
        this.#changes.push({ sequence: this.#nextSequence++, key });
        if (this.#changes.length > maxRetainedChanges) {
            this.#changes.shift();
        }
        [...this.#listeners].filter(listener => key.startsWith(listener.prefix)).forEach(listener => listener.notify());
    }
}
