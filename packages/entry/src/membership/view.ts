/** Entry VMs and the owner as the store shows them. */
import type { Clock, KeyChanges, KeysAtCursor, KeyValue, KeyVersion, Milliseconds } from "@pebbledale/core";

/** Keys of the cell's entry VMs and owner. */
export const cellPrefix = "cell/";
/** Key under which the current owner publishes its name and address. */
export const ownerKey = "cell/owner";
const vmPrefix = "cell/nodes/";

/** Key of an entry VM. */
export const vmKey = (name: string): string => `${vmPrefix}${name}`;

/** A VM that runs this program, as it registers itself in the store. */
export interface EntryVm {
    readonly name: string;
    /** IP number and port at which it takes the owner's connection. */
    readonly address: string;
    readonly dataHall: string;
    /** How much processor it has, in shares of a core. */
    readonly processorShare: number;
    /** Names one life of its process. */
    readonly process: string;
    /** When its process started, in whole seconds since 1970 by its own clock. */
    readonly startedAt: number;
}

/** The value under {@link ownerKey}: which entry VM places work, and at which address it takes connections. */
export interface OwnerEntry {
    readonly name: string;
    readonly address: string;
    readonly process: string;
}

/** See the module's comment. */
export class CellView {
    readonly vms = new Map<string, EntryVm>();
    owner: OwnerEntry | undefined;
    /** Version of the owner's key as last seen; undefined while it is not there. */
    ownerVersion: KeyVersion | undefined;
    /** Since when the owner's key is missing, by the monotonic clock; undefined while it is there or nothing was read. */
    ownerMissingSince: Milliseconds | undefined;
    /** When the present owner's key was first seen, by the monotonic clock. */
    ownerSince: Milliseconds = -Infinity;
    /** When a VM was last seen for the first time, by the monotonic clock. */
    lastVmAddedAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Takes in all keys. */
    replace({ entries }: KeysAtCursor): void {
        const keys = new Set(entries.map(entry => entry.key));
        [...this.vms.keys()].filter(name => !keys.has(vmKey(name))).forEach(name => this.vms.delete(name));
        if (!keys.has(ownerKey)) {
            this.#removeOwner();
        }
        entries.forEach(entry => this.#put(entry));
    }

    /** Takes in changes. */
    apply({ changed, removed }: KeyChanges): void {
        changed.forEach(entry => this.#put(entry));
        for (const key of removed) {
            if (key === ownerKey) {
                this.#removeOwner();
            }
            else {
                this.vms.delete(key.slice(vmPrefix.length));
            }
        }
    }

    #removeOwner(): void {
        this.owner = undefined;
        this.ownerVersion = undefined;
        this.ownerMissingSince ??= this.clock.monotonic();
    }

    #put({ key, value, version }: KeyValue): void {
        if (key === ownerKey) {
            this.#putOwner(parse<OwnerEntry>(value), version);
        }
        else if (key.startsWith(vmPrefix)) {
            this.#putVm(key.slice(vmPrefix.length), parse<EntryVm>(value));
        }
    }

    /** An owner that cannot be read is one that is missing: its key can be claimed at the version that was seen. */
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

    /** A VM that cannot be read is one that is not there. */
    #putVm(name: string, vm: EntryVm | undefined): void {
        if (vm === undefined) {
            this.vms.delete(name);
            return;
        }
        this.lastVmAddedAt = this.vms.has(name) ? this.lastVmAddedAt : this.clock.monotonic();
        this.vms.set(name, vm);
    }
}

/** A value that an entry VM wrote; undefined when it is none. */
const parse = <Entry extends { readonly process: string; readonly address: string; }>(
    value: string,
): Entry | undefined => {
    try {
        const entry = JSON.parse(value) as Partial<Entry> | undefined;
        return typeof entry?.process === "string" && typeof entry.address === "string" ? entry as Entry : undefined;
    }
    catch {
        return undefined;
    }
};
