/** Keys, versions, leases and watches in memory. */
import type { KeyValue, KeyVersion, Milliseconds, PlatformLeaseId, SwapOutcome, WatchEvents } from "@pebbledale/core";

interface Lease {
    readonly duration: Milliseconds;
    until: Milliseconds;
    readonly keys: Set<string>;
}

interface Change {
    readonly sequence: number;
    readonly key: string;
}

interface Watcher {
    readonly prefix: string;
    readonly wake: () => void;
}

/** Changes that are remembered for watches; an older cursor makes the caller read again. */
const rememberedChanges = 10_000;

/** See the module's comment. Time is passed in by the caller of each call. */
export class MemoryStore {
    readonly #entries = new Map<string, KeyValue>();
    /** Versions of keys outlive the keys, so that a key that was deleted and made again has a new version. */
    #lastVersion = 0;
    readonly #leases = new Map<PlatformLeaseId, Lease>();
    readonly #changes: Change[] = [];
    readonly #watchers = new Set<Watcher>();
    #sequence = 1;
    #nextLease = 1;

    /** Reads a key. */
    get(key: string): KeyValue | undefined {
        return this.#entries.get(key);
    }

    /** Reads all keys that begin with a prefix. */
    list(prefix: string): KeyValue[] {
        return [...this.#entries.values()]
            .filter(entry => entry.key.startsWith(prefix))
            .sort((left, right) => left.key < right.key ? -1 : 1);
    }

    /** Compare-and-swap. The key goes with the lease of its last write, and with no earlier one. */
    swap(key: string, expected: number, value: string, lease?: PlatformLeaseId): SwapOutcome {
        const current = this.#entries.get(key);
        if ((current?.version ?? 0) !== expected) {
            return { kind: "conflict", current };
        }
        const holder = lease === undefined ? undefined : this.#leases.get(lease);
        if (lease !== undefined && holder === undefined) {
            return { kind: "conflict", current };
        }
        this.#leases.forEach(other => other.keys.delete(key));
        holder?.keys.add(key);
        const version = ++this.#lastVersion as KeyVersion;
        this.#entries.set(key, { key, value, version });
        this.#changed(key);
        return { kind: "swapped", version };
    }

    /** Deletes a key if it has the version. */
    remove(key: string, expected: number): boolean {
        const current = this.#entries.get(key);
        if (current !== undefined && current.version !== expected) {
            return false;
        }
        this.#leases.forEach(lease => lease.keys.delete(key));
        this.#entries.delete(key);
        this.#changed(key);
        return true;
    }

    /** Makes a lease. */
    grantLease(duration: Milliseconds, now: Milliseconds): PlatformLeaseId {
        const lease = `lease-${this.#nextLease++}` as PlatformLeaseId;
        this.#leases.set(lease, { duration, until: now + duration, keys: new Set() });
        return lease;
    }

    /** Renews a lease that has not ended. */
    renewLease(lease: PlatformLeaseId, now: Milliseconds): boolean {
        const entry = this.#leases.get(lease);
        if (entry !== undefined) {
            entry.until = now + entry.duration;
        }
        return entry !== undefined;
    }

    /** Ends a lease and its keys. */
    revokeLease(lease: PlatformLeaseId): void {
        const entry = this.#leases.get(lease);
        this.#leases.delete(lease);
        entry?.keys.forEach(key => {
            this.#entries.delete(key);
            this.#changed(key);
        });
    }

    /** Ends the leases that lapsed. */
    expire(now: Milliseconds): void {
        for (const [name, lease] of this.#leases) {
            if (lease.until <= now) {
                this.revokeLease(name);
            }
        }
    }

    /** Changes below a prefix after a cursor; undefined when there are none. */
    changesAfter(prefix: string, cursor: string): WatchEvents | undefined {
        const after = Number(cursor);
        const oldest = this.#changes[0]?.sequence ?? this.#sequence;
        if (cursor === "" || after < oldest - 1) {
            return { cursor: String(this.#sequence - 1), changed: [] };
        }
        const changed = this.#changes.filter(change => change.sequence > after && change.key.startsWith(prefix));
        return changed.length === 0
            ? undefined
            : { cursor: String(this.#sequence - 1), changed: changed.map(change => change.key) };
    }

    /** The present cursor. */
    cursor(): string {
        return String(this.#sequence - 1);
    }

    /** Calls `wake` at the next change below a prefix; the result ends that. */
    onChange(prefix: string, wake: () => void): () => void {
        const watcher = { prefix, wake };
        this.#watchers.add(watcher);
        return () => this.#watchers.delete(watcher);
    }

    #changed(key: string): void {
        this.#changes.push({ sequence: this.#sequence++, key });
        if (this.#changes.length > rememberedChanges) {
            this.#changes.shift();
        }
        [...this.#watchers].filter(watcher => key.startsWith(watcher.prefix)).forEach(watcher => watcher.wake());
    }
}
