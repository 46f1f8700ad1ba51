/** Local copy of the keys of entry VMs and of the owner. */
import type { Clock, KeyChanges, KeysAtCursor, KeyValue, KeyVersion, Milliseconds } from "@pebbledale/core";
import { decodeOwnerEntry, decodeVmEntry, type EntryVm, type OwnerEntry } from "./member-entries.js";

/** Prefix of the keys of entry VMs and of the owner. */
export const cellPrefix = "cell/";
/** Key under which the current owner publishes its name and address. */
export const ownerKey = "cell/owner";
const vmPrefix = "cell/nodes/";

/** Key of the entry VM with a name. */
export const vmKey = (name: string): string => `${vmPrefix}${name}`;

/** Entry VMs and the owner as last seen in the store. Times are of the monotonic clock. */
export class CellView {
    readonly vms = new Map<string, EntryVm>();
    owner: OwnerEntry | undefined;
    /** Version of the owner's key; undefined while the key is missing. */
    ownerVersion: KeyVersion | undefined;
    /** Since when the owner's key is missing; undefined while it exists or nothing has been read. */
    ownerMissingSince: Milliseconds | undefined;
    /** When the key of the current owner was first seen. */
    ownerSince: Milliseconds = -Infinity;
    /** When a VM was last added. */
    lastVmAddedAt: Milliseconds = -Infinity;
    /** Versions of the VMs' keys, which rise with each write to the store. */
    readonly #vmVersions = new Map<string, KeyVersion>();

    /** `onUnreadable`: called with the key of an entry that is unusable, and the reason. */
    constructor(
        private readonly clock: Clock,
        private readonly onUnreadable: (key: string, reason: string) => void = () => undefined,
    ) {}

    /**
     * Whether the process that owns the cell has ended: another process of its VM has registered after the owner's key was written.
     * An earlier registration may be of the process before the owner's.
     */
    get hasOwnerRestarted(): boolean {
        const { owner, ownerVersion } = this;
        if (owner === undefined || ownerVersion === undefined) {
            return false;
        }
        const registered = this.vms.get(owner.name);
        return registered !== undefined && registered.process !== owner.process
            && (this.#vmVersions.get(owner.name) ?? 0) > ownerVersion;
    }

    /** Replaces the whole content. */
    replace({ entries }: KeysAtCursor): void {
        const keys = new Set(entries.map(entry => entry.key));
        [...this.vms.keys()].filter(name => !keys.has(vmKey(name))).forEach(name => this.#removeVm(name));
        if (!keys.has(ownerKey)) {
            this.#removeOwner();
        }
        entries.forEach(entry => this.#put(entry));
    }

    apply({ changed, removed }: KeyChanges): void {
        changed.forEach(entry => this.#put(entry));
        for (const key of removed) {
            if (key === ownerKey) {
                this.#removeOwner();
            }
            else if (key.startsWith(vmPrefix)) {
                this.#removeVm(key.slice(vmPrefix.length));
            }
        }
    }

    #removeVm(name: string): void {
        this.vms.delete(name);
        this.#vmVersions.delete(name);
    }

    #removeOwner(): void {
        this.owner = undefined;
        this.ownerVersion = undefined;
        this.ownerMissingSince ??= this.clock.monotonic();
    }

    #put({ key, value, version }: KeyValue): void {
        const noteUnreadable = (reason: string): undefined => void this.onUnreadable(key, reason);
        if (key === ownerKey) {
            this.#putOwner(decodeOwnerEntry(value).match(entry => entry, noteUnreadable), version);
        }
        else if (key.startsWith(vmPrefix)) {
            const name = key.slice(vmPrefix.length);
            this.#vmVersions.set(name, version);
            this.#putVm(name, decodeVmEntry(name, value).match(entry => entry, noteUnreadable));
        }
    }

    /** An unreadable entry counts as a missing owner whose key can be claimed at the version that was seen. */
    #putOwner(owner: OwnerEntry | undefined, version: KeyVersion): void {
        if (owner === undefined) {
            this.#removeOwner();
            this.ownerVersion = version;
            return;
        }
        this.ownerSince = owner.process === this.owner?.process ? this.ownerSince : this.clock.monotonic();
        this.owner = owner;
        this.ownerVersion = version;
        this.ownerMissingSince = undefined;
    }

    /** An unreadable entry counts as a missing VM. */
    #putVm(name: string, vm: EntryVm | undefined): void {
        if (vm === undefined) {
            this.vms.delete(name);
            return;
        }
        this.lastVmAddedAt = this.vms.has(name) ? this.lastVmAddedAt : this.clock.monotonic();
        this.vms.set(name, vm);
    }
}
