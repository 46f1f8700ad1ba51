/** Account of the bytes that a VM sends and receives, by kind of traffic and by whether they leave its region. */
import type { DataHallName } from "@pebbledale/core";
import type { RegionMap } from "../settings/index.js";

/** Addresses whose data hall is remembered. Addresses of workers that are gone are forgotten all at once beyond this number. */
const maxLocatedAddresses = 8_192;

/** Whom a VM exchanges bytes with. */
export enum TrafficPeer {
    Vm = "vm",
    Store = "store",
    Worker = "worker",
    Advice = "advice",
    Caller = "caller",
}

/** Whether the other end is in the same region. */
export enum TrafficReach {
    Near = "near",
    Far = "far",
    /** The platform does not say where the other end is. */
    Unknown = "unknown",
}

/** Bytes of one message or call without the headers of the transport. */
export interface TrafficAmount {
    readonly sent: number;
    readonly received: number;
}

/** What was exchanged with one sort of peer at one reach by one kind of message or call, since the process started. */
export interface TrafficTotal {
    readonly peer: TrafficPeer;
    readonly kind: string;
    readonly reach: TrafficReach;
    readonly count: number;
    readonly sent: number;
    readonly received: number;
}

type MutableTotal = { -readonly [Key in keyof TrafficTotal]: TrafficTotal[Key]; };

/**
 * Sums up the traffic of one VM. Lengths are those of texts that are sent or received anyway, so an entry costs a look-up in a map.
 * A message between two VMs is counted by its sender only.
 */
export class TrafficAccount {
    readonly #totals = new Map<string, MutableTotal>();
    readonly #halls = new Map<string, DataHallName>();

    constructor(private readonly regions: RegionMap, private readonly ownHall: DataHallName) {}

    /** Everything exchanged so far. */
    get totals(): readonly TrafficTotal[] {
        return [...this.#totals.values()];
    }

    /** Records the data hall of the worker at an address. */
    locate(address: string, hall: DataHallName | undefined): void {
        if (hall === undefined) {
            return;
        }
        if (this.#halls.size >= maxLocatedAddresses) {
            this.#halls.clear();
        }
        this.#halls.set(address, hall);
    }

    /** Counts a message to a VM in the given data hall. */
    recordMessage(kind: string, hall: DataHallName | undefined, bytes: number): void {
        this.#add(TrafficPeer.Vm, kind, this.#reachOf(hall), { sent: bytes, received: 0 });
    }

    /** Counts a call to a worker by the worker's address. */
    recordWorkerCall(call: string, address: string, amount: TrafficAmount): void {
        this.#add(TrafficPeer.Worker, call, this.#reachOf(this.#halls.get(address)), amount);
    }

    /** Counts an exchange with a peer whose region the platform does not say. */
    recordUnlocated(
        peer: TrafficPeer.Store | TrafficPeer.Advice | TrafficPeer.Caller,
        kind: string,
        amount: TrafficAmount,
    ): void {
        this.#add(peer, kind, TrafficReach.Unknown, amount);
    }

    #reachOf(hall: DataHallName | undefined): TrafficReach {
        const region = hall === undefined ? undefined : this.regions.get(hall);
        const own = this.regions.get(this.ownHall);
        if (region === undefined || own === undefined) {
            return TrafficReach.Unknown;
        }
        return region === own ? TrafficReach.Near : TrafficReach.Far;
    }

    #add(peer: TrafficPeer, kind: string, reach: TrafficReach, { sent, received }: TrafficAmount): void {
        const key = `${peer} ${reach} ${kind}`;
        let total = this.#totals.get(key);
        if (total === undefined) {
            total = { peer, kind, reach, count: 0, sent: 0, received: 0 };
            this.#totals.set(key, total);
        }
        total.count++;
        total.sent += sent;
        total.received += received;
    }
}
