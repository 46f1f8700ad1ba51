/** Entry VMs and the owner as the store shows them. */
import type { KeyChanges, KeysAtCursor, KeyValue, KeyVersion } from "@pebbledale/core";

/** Keys of the cell's entry VMs and owner. */
export const cellPrefix = "cell/";
/** Key of the owner. */
export const ownerKey = "cell/owner";
const vmPrefix = "cell/nodes/";

/** Key of an entry VM. */
export const vmKey = (name: string): string => `${vmPrefix}${name}`;

/** One entry VM. */
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

/** The owner's entry. */
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

    /** Takes in all keys. */
    replace({ entries }: KeysAtCursor): void {
        this.vms.clear();
        this.owner = undefined;
        this.ownerVersion = undefined;
        entries.forEach(entry => this.#put(entry));
    }

    /** Takes in changes. */
    change({ changed, removed }: KeyChanges): void {
        changed.forEach(entry => this.#put(entry));
        for (const key of removed) {
            if (key === ownerKey) {
                this.owner = undefined;
                this.ownerVersion = undefined;
            }
            else {
                this.vms.delete(key.slice(vmPrefix.length));
            }
        }
    }

    #put({ key, value, version }: KeyValue): void {
        if (key === ownerKey) {
            this.owner = JSON.parse(value) as OwnerEntry;
            this.ownerVersion = version;
        }
        else if (key.startsWith(vmPrefix)) {
            this.vms.set(key.slice(vmPrefix.length), JSON.parse(value) as EntryVm);
        }
    }
}
