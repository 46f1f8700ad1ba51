/**
 * Slots of service instances, granted to gateways in bundles that end by themselves.
 *
 * A gateway renews its bundle well before it ends and says how many slots of each instance it uses. What it uses or
 * was granted stays counted until the grant has ended, so the sum never exceeds an instance's slots, also when an
 * answer is lost. A new owner at first grants only what gateways say they already hold; should one that was cut off
 * use more, the instance refuses it, as it enforces its own slots.
 */
import type { ProcessId, TaskId, WorkerId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** A running instance of a service. */
export interface ServiceInstance {
    readonly task: TaskId;
    readonly worker: WorkerId;
    /** Undefined while a new owner has not heard from the worker. */
    readonly address?: string;
    readonly dataHall: string;
    readonly slots: number;
}

/** Slots of one instance that a gateway may use. */
export interface SlotGrant {
    readonly task: TaskId;
    readonly worker: WorkerId;
    /** Undefined while a new owner has not heard from the worker: the gateway goes on with the address it knows. */
    readonly address?: string;
    readonly slots: number;
}

/** What a gateway asks for one service. */
export interface SlotRequest {
    readonly gateway: ProcessId;
    readonly dataHall: string;
    /** Most slots it could have used at once lately. */
    readonly demand: number;
    /** Slots in use or granted before, by instance. */
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

/** Grants of one service. */
export class SlotLedger {
    readonly #gateways = new Map<ProcessId, GatewayEntry>();

    /** `settledAt`: from then on every gateway that the owner can hear has said what it holds. */
    constructor(private readonly reconciledAt: Milliseconds) {}

    /** Grants slots for `duration` from `now` and counts them until then. */
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
            const room = Math.max(0, instance.slots - this.#heldByOthers(gateway, instance.task));
            const before = gateway.holdings.get(instance.task)?.slots ?? 0;
            const mayGrow = now >= this.reconciledAt && instance.address !== undefined;
            const slots = Math.min(wanted, room, mayGrow ? room : before);
            wanted -= slots;
            if (slots > 0) {
                gateway.holdings.set(instance.task, { slots: Math.max(slots, before), expiresAt: now + duration });
                grants.push({ task: instance.task, worker: instance.worker, address: instance.address, slots });
            }
        }
        return grants;
    }

    /** Slots of an instance that are counted as granted. */
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

    /** What a gateway holds is what it says; a smaller number than was granted gives the rest back. */
    #replaceHoldings(gateway: GatewayEntry, request: SlotRequest, now: Milliseconds, duration: Milliseconds): void {
        gateway.holdings.clear();
        for (const held of request.held) {
            gateway.holdings.set(held.task, { slots: held.slots, expiresAt: now + duration });
        }
    }

    /** The demand and a share of what nobody asks for, with one share kept for a gateway that is new; else in proportion. */
    #shareOf(gateway: GatewayEntry, instances: readonly ServiceInstance[]): number {
        const total = instances.reduce((sum, instance) => sum + instance.slots, 0);
        const demands = [...this.#gateways.values()].reduce((sum, entry) => sum + entry.demand, 0);
        if (demands <= total) {
            return gateway.demand + Math.floor((total - demands) / (this.#gateways.size + 1));
        }
        return Math.max(1, Math.floor(total * gateway.demand / demands));
    }

    /** Instances that the gateway already uses first, then those of its own data hall, then the emptiest. */
    #inPreferenceOrder(
        gateway: GatewayEntry,
        instances: readonly ServiceInstance[],
        dataHall: string,
    ): ServiceInstance[] {
        const weight = (instance: ServiceInstance): number => {
            const held = gateway.holdings.has(instance.task) ? 0 : 1_000_000;
            const distance = instance.dataHall === dataHall ? 0 : 1_000;
            return held + distance + this.#sumHeld(instance.task, undefined);
        };
        return [...instances].sort((left, right) => weight(left) - weight(right));
    }

    #heldByOthers(gateway: GatewayEntry, task: TaskId): number {
        return this.#sumHeld(task, gateway);
    }

    #sumHeld(task: TaskId, without: GatewayEntry | undefined): number {
        let sum = 0;
        for (const entry of this.#gateways.values()) {
            if (entry !== without) {
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
