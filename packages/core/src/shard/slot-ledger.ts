/** Slots of service instances, granted to gateways for a limited time. */
import type { ProcessId, TaskId, WorkerId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** A running instance of a service. */
export interface ServiceInstance {
    readonly task: TaskId;
    readonly worker: WorkerId;
    /** Undefined until the worker has reported to a new owner. */
    readonly address?: string;
    readonly dataHall: string;
    readonly slots: number;
}

/** Number of slots of one instance that a gateway may use at a time. */
export interface SlotGrant {
    readonly task: TaskId;
    readonly worker: WorkerId;
    /** Undefined until the worker has reported to a new owner; the gateway keeps using the address it knows. */
    readonly address?: string;
    readonly slots: number;
}

/** A gateway's request for slots of one service. */
export interface SlotRequest {
    readonly gateway: ProcessId;
    readonly dataHall: string;
    /** Recent peak of slots the gateway could have used at once. */
    readonly demand: number;
    /** Slots that the gateway uses or was granted before, by instance. */
    readonly held: readonly { readonly task: TaskId; readonly slots: number; }[];
}

interface Holding {
    slots: number;
    expiresAt: Milliseconds;
}

interface GatewayEntry {
    demand: number;
    expiresAt: Milliseconds;
    readonly holdings: Map<TaskId, Holding>;
}

/**
 * Slot grants of one service.
 *
 * Gateways renew their grants before they expire, and report the slots of each instance that they use. What a gateway uses
 * or was granted stays counted until the grant expires, so the sum never exceeds an instance's slots even when an answer is
 * lost. A new owner first re-grants only slots that gateways report as held. If a partitioned gateway uses more, the instance
 * rejects the request, as it enforces its own slots.
 */
export class SlotLedger {
    readonly #gateways = new Map<ProcessId, GatewayEntry>();

    /** `reconciledAt`: from then on every reachable gateway has reported the slots it holds, so grants may grow. */
    constructor(private readonly reconciledAt: Milliseconds) {}

    /** Grants slots that expire at `now + duration`. */
    acquire(
        request: SlotRequest,
        instances: readonly ServiceInstance[],
        now: Milliseconds,
        duration: Milliseconds,
    ): SlotGrant[] {
        this.#dropExpired(now);
        const gateway = this.#entryOf(request.gateway);
        gateway.demand = request.demand;
        gateway.expiresAt = now + duration;
        this.#replaceHoldings(gateway, request, now, duration);
        let wanted = this.#shareOf(gateway, instances);
        const grants: SlotGrant[] = [];
        for (const instance of this.#inPreferenceOrder(gateway, instances, request.dataHall)) {
            const available = Math.max(0, instance.slots - this.#heldByOthers(gateway, instance.task));
            const current = gateway.holdings.get(instance.task)?.slots ?? 0;
            const mayGrow = now >= this.reconciledAt && instance.address !== undefined;
            const slots = Math.min(wanted, available, mayGrow ? available : current);
            wanted -= slots;
            if (slots > 0) {
                gateway.holdings.set(instance.task, { slots: Math.max(slots, current), expiresAt: now + duration });
                grants.push({ task: instance.task, worker: instance.worker, address: instance.address, slots });
            }
        }
        return grants;
    }

    grantedSlots(task: TaskId, now: Milliseconds): number {
        this.#dropExpired(now);
        return this.#sumHeld(task, undefined);
    }

    #entryOf(gateway: ProcessId): GatewayEntry {
        let entry = this.#gateways.get(gateway);
        if (entry === undefined) {
            entry = { demand: 0, expiresAt: 0, holdings: new Map() };
            this.#gateways.set(gateway, entry);
        }
        return entry;
    }

    /** Replaces a gateway's holdings by those it reports, which releases slots it no longer uses. */
    #replaceHoldings(gateway: GatewayEntry, request: SlotRequest, now: Milliseconds, duration: Milliseconds): void {
        gateway.holdings.clear();
        for (const held of request.held) {
            gateway.holdings.set(held.task, { slots: held.slots, expiresAt: now + duration });
        }
    }

    /**
     * Target number of slots for a gateway. If all demands fit: its demand plus an equal share of the spare slots, with one
     * share left for a new gateway. Otherwise a share in proportion to its demand.
     */
    #shareOf(gateway: GatewayEntry, instances: readonly ServiceInstance[]): number {
        const total = instances.reduce((sum, instance) => sum + instance.slots, 0);
        const demands = [...this.#gateways.values()].reduce((sum, entry) => sum + entry.demand, 0);
        if (demands <= total) {
            return gateway.demand + Math.floor((total - demands) / (this.#gateways.size + 1));
        }
        return Math.max(1, Math.floor(total * gateway.demand / demands));
    }

    /** Orders instances: those the gateway already uses, then those in its data hall, then those with the fewest slots granted. */
    #inPreferenceOrder(
        gateway: GatewayEntry,
        instances: readonly ServiceInstance[],
        dataHall: string,
    ): ServiceInstance[] {
        const rank = (instance: ServiceInstance): number => {
            const held = gateway.holdings.has(instance.task) ? 0 : 1_000_000;
            const distance = instance.dataHall === dataHall ? 0 : 1_000;
            return held + distance + this.#sumHeld(instance.task, undefined);
        };
        return [...instances].sort((left, right) => rank(left) - rank(right));
    }

    #heldByOthers(gateway: GatewayEntry, task: TaskId): number {
        return this.#sumHeld(task, gateway);
    }

    #sumHeld(task: TaskId, excluded: GatewayEntry | undefined): number {
        let sum = 0;
        for (const entry of this.#gateways.values()) {
            if (entry !== excluded) {
                sum += entry.holdings.get(task)?.slots ?? 0;
            }
        }
        return sum;
    }

    #dropExpired(now: Milliseconds): void {
        for (const [name, entry] of this.#gateways) {
            for (const [task, holding] of entry.holdings) {
                if (holding.expiresAt <= now) {
                    entry.holdings.delete(task);
                }
            }
            if (entry.expiresAt <= now) {
                this.#gateways.delete(name);
            }
        }
    }
}
