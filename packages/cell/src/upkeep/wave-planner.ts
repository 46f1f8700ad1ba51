/** Planning of upkeep waves. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type UpkeepWave, VmCondition, type VmEntry, type VmId, WaveState } from "./types.js";

/** What the planner needs to know of a worker. */
export interface PlannedWorker {
    /** Number of runs that have not ended. */
    readonly runs: number;
    /** Whether its loss would exceed the disruption budget of a long-running step. */
    readonly isNeeded: boolean;
}

/** Actions that the planner asks for. */
export interface UpkeepPlan {
    /** Workers that must not accept new runs. */
    readonly closed: ReadonlySet<WorkerId>;
    /** VMs whose upkeep must begin now. */
    readonly begin: readonly { readonly wave: number; readonly vm: VmId; }[];
    /** States of waves to report. */
    readonly states: ReadonlyMap<number, WaveState>;
}

/** Dependencies and settings of a planner. */
export interface WavePlannerOptions {
    readonly now: () => Milliseconds;
    readonly workerOf: (worker: WorkerId) => PlannedWorker;
    /** How long a VM is down. */
    readonly upkeepTime: Milliseconds;
}

/** An order to begin a VM's upkeep. */
interface Order {
    readonly at: Milliseconds;
    /** Whether it is known to be carried out. A new worker on the VM is no proof, as a crashed one is replaced too. */
    isConfirmed: boolean;
}

interface Wave {
    definition: UpkeepWave;
    readonly addedAt: Milliseconds;
    /** VMs whose upkeep was ordered. */
    readonly orders: Map<VmId, Order>;
    /** VMs that are up again after their upkeep. */
    readonly finished: Set<VmId>;
    /** VMs that were seen down after their order. */
    readonly seenDown: Set<VmId>;
}

/** Share of a wave's time after which VMs begin their upkeep even with runs on them. */
const drainShare = 0.5;
/** A VM is gone once this many lists in a row lack it: pages of a list are no snapshot, so that one may lack a VM. */
const listsUntilGone = 2;
/** Added to the duration of an upkeep, in milliseconds, as the platform's list may be out of date. */
const upkeepMargin: Milliseconds = 500;

/**
 * Decides which VMs begin their upkeep when, never more at once than a wave allows.
 *
 * Workers of the next VMs accept no new runs, so that they drain. A VM goes down once its worker is empty. When waiting longer would make
 * the wave late it goes down with its runs, unless that would exceed the disruption budget of a long-running step.
 */
export class WavePlanner {
    readonly #waves = new Map<number, Wave>();
    readonly #completed = new Set<number>();
    #vms = new Map<VmId, VmEntry>();
    /** VMs of waves that the last lists lack, with the number of these lists. */
    readonly #missing = new Map<VmId, number>();

    constructor(private readonly options: WavePlannerOptions) {}

    /** Whether a wave is not completed. */
    get isBusy(): boolean {
        return this.#waves.size > 0;
    }

    /** Adds a wave, or changes one that is not completed: what has been ordered stays. A repeated call has no effect. */
    add(definition: UpkeepWave): void {
        const { wave } = definition;
        const known = this.#waves.get(wave);
        if (known !== undefined) {
            known.definition = definition;
        }
        else if (!this.#completed.has(wave)) {
            this.#waves.set(wave, {
                definition,
                addedAt: this.options.now(),
                orders: new Map(),
                finished: new Set(),
                seenDown: new Set(),
            });
        }
    }

    /** Marks a wave that an earlier owner completed. */
    noteCompleted(wave: number): void {
        this.#waves.delete(wave);
        this.#completed.add(wave);
    }

    /** Applies the platform's list of all VMs. */
    applyList(entries: readonly VmEntry[]): void {
        this.#vms = new Map(entries.map(entry => [entry.vm, entry]));
        this.#countMissing();
        this.#waves.forEach(wave => wave.definition.vms.forEach(vm => this.#updateVm(wave, vm)));
    }

    #countMissing(): void {
        const vms = new Set([...this.#waves.values()].flatMap(wave => wave.definition.vms));
        const missing = [...vms].filter(vm => !this.#vms.has(vm)).map(vm =>
            [vm, (this.#missing.get(vm) ?? 0) + 1] as const
        );
        this.#missing.clear();
        missing.forEach(([vm, lists]) => this.#missing.set(vm, lists));
    }

    /** An order is issued. Its VM counts as down until the order is refused or found not to be carried out. */
    noteOrdered(wave: number, vm: VmId): void {
        this.#waves.get(wave)?.orders.set(vm, this.#newOrder(false));
    }

    noteConfirmed(wave: number, vm: VmId): void {
        const order = this.#waves.get(wave)?.orders.get(vm);
        if (order !== undefined) {
            order.isConfirmed = true;
        }
    }

    /** An order was refused. It is issued again later. */
    noteRefused(wave: number, vm: VmId): void {
        this.#waves.get(wave)?.orders.delete(vm);
    }

    /** Computes the actions that are due now. */
    plan(): UpkeepPlan {
        const closed = new Set<WorkerId>();
        const begin: { wave: number; vm: VmId; }[] = [];
        const states = new Map<number, WaveState>();
        for (const [number, wave] of [...this.#waves]) {
            if (wave.definition.vms.every(vm => this.#isFinished(wave, vm))) {
                states.set(number, WaveState.Completed);
                continue;
            }
            states.set(number, WaveState.Running);
            this.#planWave(number, wave, closed, begin);
        }
        return { closed, begin, states };
    }

    #planWave(number: number, wave: Wave, closed: Set<WorkerId>, begin: { wave: number; vm: VmId; }[]): void {
        const { definition } = wave;
        const down = definition.vms.filter(vm => wave.orders.has(vm) && !this.#isFinished(wave, vm)).length;
        let openSlots = definition.mostDown - down;
        // In addition to the VMs that are down, as many are drained as may go down next.
        let draining = definition.mostDown;
        for (const vm of definition.vms) {
            const entry = this.#vms.get(vm);
            const isWaiting = !wave.orders.has(vm) && !wave.finished.has(vm) && entry?.state === VmCondition.Up;
            if (!isWaiting || draining === 0) {
                continue;
            }
            draining--;
            if (entry.worker !== undefined) {
                closed.add(entry.worker);
            }
            if (openSlots > 0 && this.#isReady(wave, entry)) {
                openSlots--;
                begin.push({ wave: number, vm });
            }
        }
    }

    #isReady(wave: Wave, { worker }: VmEntry): boolean {
        const planned = worker === undefined ? undefined : this.options.workerOf(worker);
        if (planned === undefined || planned.runs === 0) {
            return true;
        }
        return !planned.isNeeded && this.options.now() > wave.addedAt + this.#maxDrainTime(wave);
    }

    /** How long VMs may drain, from the start of the wave: the rest of its time is needed for the upkeep itself. */
    #maxDrainTime({ definition, orders }: Wave): Milliseconds {
        const rounds = Math.ceil((definition.vms.length - orders.size) / Math.max(1, definition.mostDown));
        const needed = rounds * (this.options.upkeepTime + upkeepMargin);
        const elapsedShare = orders.size / Math.max(1, definition.vms.length);
        return Math.min(definition.within * (drainShare + elapsedShare), definition.within - needed);
    }

    #newOrder(isConfirmed: boolean): Order {
        return { at: this.options.now(), isConfirmed };
    }

    /** Whether a VM needs no upkeep any more: it has had it, or is gone. */
    #isFinished(wave: Wave, vm: VmId): boolean {
        return wave.finished.has(vm) || (this.#missing.get(vm) ?? 0) >= listsUntilGone;
    }

    /** Updates a VM's progress: it is finished once it is up again after its upkeep. */
    #updateVm(wave: Wave, vm: VmId): void {
        const entry = this.#vms.get(vm);
        const order = wave.orders.get(vm);
        if (entry === undefined) {
            return;
        }
        if (entry.state === VmCondition.Upkeep) {
            // An earlier owner may have issued the order.
            wave.orders.set(vm, { ...order ?? this.#newOrder(true), isConfirmed: true });
            wave.seenDown.add(vm);
            return;
        }
        if (entry.state !== VmCondition.Up || order === undefined) {
            return;
        }
        const isOverdue = this.options.now() - order.at > this.options.upkeepTime + upkeepMargin;
        if (wave.seenDown.has(vm) || isOverdue && order.isConfirmed) {
            wave.finished.add(vm);
        }
        else if (isOverdue) {
            // The order had no answer: it is issued again, which is answered as done if it was carried out.
            wave.orders.delete(vm);
        }
    }
}
