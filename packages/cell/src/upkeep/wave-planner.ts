/**
 * Takes VMs down for their upkeep, wave by wave, never more at once than the operators allow.
 *
 * Workers of the next VMs take nothing new, so that what runs there ends by itself. A VM goes down once its worker is
 * empty, or when waiting longer would make the wave late.
 */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { type UpkeepWave, VmCondition, type VmEntry, type VmId, WaveState } from "./types.js";

/** What the planner knows of a worker. */
export interface PlannedWorker {
    /** Runs that are not over. */
    readonly runs: number;
    /** Whether its loss would take more tasks that last away than their steps allow. */
    readonly isNeeded: boolean;
}

/** What the planner asks for. */
export interface UpkeepPlan {
    /** Workers that take nothing new. */
    readonly closed: ReadonlySet<WorkerId>;
    /** VMs whose upkeep is to begin now. */
    readonly begin: readonly { readonly wave: number; readonly vm: VmId; }[];
    /** States of waves that are to be told. */
    readonly states: ReadonlyMap<number, WaveState>;
}

/** What the planner needs. */
export interface WavePlannerOptions {
    readonly now: () => Milliseconds;
    /** What is known of a worker. */
    readonly workerOf: (worker: WorkerId) => PlannedWorker;
    /** How long a VM is down. */
    readonly upkeepTime: Milliseconds;
}

/** One order to begin an upkeep. */
interface Order {
    readonly at: Milliseconds;
    /** Whether its answer said that it was carried out. Another worker there is no proof: one that crashes is followed by another too. */
    isConfirmed: boolean;
}

interface Wave {
    readonly definition: UpkeepWave;
    readonly since: Milliseconds;
    /** VMs whose upkeep was ordered. */
    readonly begun: Map<VmId, Order>;
    /** VMs that are up again after their upkeep, or gone. */
    readonly finished: Set<VmId>;
    /** VMs that were seen down after their order. */
    readonly seenDown: Set<VmId>;
}

/** Share of a wave's time after which VMs go down even if work runs there. */
const drainShare = 0.5;
/** Added to the time a VM is down: the platform's list may be a little old. In milliseconds. */
const upkeepMargin: Milliseconds = 500;

/** See the module's comment. */
export class WavePlanner {
    readonly #waves = new Map<number, Wave>();
    readonly #completed = new Set<number>();
    #vms = new Map<VmId, VmEntry>();

    constructor(private readonly options: WavePlannerOptions) {}

    /** Whether there is a wave that is not completed. */
    get isBusy(): boolean {
        return this.#waves.size > 0;
    }

    /** Takes a wave in; a copy changes nothing. */
    add(definition: UpkeepWave): void {
        const { wave } = definition;
        if (!this.#waves.has(wave) && !this.#completed.has(wave)) {
            this.#waves.set(wave, {
                definition,
                since: this.options.now(),
                begun: new Map(),
                finished: new Set(),
                seenDown: new Set(),
            });
        }
    }

    /** A wave that an earlier owner completed. */
    noteCompleted(wave: number): void {
        this.#waves.delete(wave);
        this.#completed.add(wave);
    }

    /** Takes the platform's list in. */
    applyList(entries: readonly VmEntry[]): void {
        this.#vms = new Map(entries.map(entry => [entry.vm, entry]));
        this.#waves.forEach(wave => wave.definition.vms.forEach(vm => this.#updateVm(wave, vm)));
    }

    /** An order is given. Until it is refused, or seen not to have been carried out, its VM counts as down. */
    noteOrdered(wave: number, vm: VmId): void {
        this.#waves.get(wave)?.begun.set(vm, this.#newOrder(false));
    }

    /** An order was carried out. */
    noteConfirmed(wave: number, vm: VmId): void {
        const order = this.#waves.get(wave)?.begun.get(vm);
        if (order !== undefined) {
            order.isConfirmed = true;
        }
    }

    /** An order was refused: the VM is asked again later. */
    noteRefused(wave: number, vm: VmId): void {
        this.#waves.get(wave)?.begun.delete(vm);
    }

    /** What is to be done now. */
    plan(): UpkeepPlan {
        const closed = new Set<WorkerId>();
        const begin: { wave: number; vm: VmId; }[] = [];
        const states = new Map<number, WaveState>();
        for (const [number, wave] of [...this.#waves]) {
            if (wave.definition.vms.every(vm => wave.finished.has(vm))) {
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
        const down = definition.vms.filter(vm => wave.begun.has(vm) && !wave.finished.has(vm)).length;
        let free = definition.mostDown - down;
        // As many more are being emptied as go down next.
        let emptied = definition.mostDown;
        for (const vm of definition.vms) {
            const entry = this.#vms.get(vm);
            const isOpen = !wave.begun.has(vm) && !wave.finished.has(vm) && entry?.state === VmCondition.Up;
            if (!isOpen || emptied === 0) {
                continue;
            }
            emptied--;
            if (entry.worker !== undefined) {
                closed.add(entry.worker);
            }
            if (free > 0 && this.#isReady(wave, entry)) {
                free--;
                begin.push({ wave: number, vm });
            }
        }
    }

    #isReady(wave: Wave, { worker }: VmEntry): boolean {
        const known = worker === undefined ? undefined : this.options.workerOf(worker);
        if (known === undefined || known.runs === 0) {
            return true;
        }
        return !known.isNeeded && this.options.now() > wave.since + this.#maxDrainTime(wave);
    }

    /** How long VMs may wait for their work to end: the rest of the wave's time is needed for the upkeep itself. */
    #maxDrainTime({ definition, begun }: Wave): Milliseconds {
        const rounds = Math.ceil((definition.vms.length - begun.size) / Math.max(1, definition.mostDown));
        const needed = rounds * (this.options.upkeepTime + upkeepMargin);
        const elapsedShare = begun.size / Math.max(1, definition.vms.length);
        return Math.min(definition.within * (drainShare + elapsedShare), definition.within - needed);
    }

    #newOrder(isConfirmed: boolean): Order {
        return { at: this.options.now(), isConfirmed };
    }

    /** Follows a VM through its upkeep: it is finished once it is up again after it was down, or is no longer there. */
    #updateVm(wave: Wave, vm: VmId): void {
        const entry = this.#vms.get(vm);
        const order = wave.begun.get(vm);
        if (entry === undefined) {
            wave.finished.add(vm);
            return;
        }
        if (entry.state === VmCondition.Upkeep) {
            // Also when an earlier owner began it.
            wave.begun.set(vm, { ...order ?? this.#newOrder(true), isConfirmed: true });
            wave.seenDown.add(vm);
            return;
        }
        if (entry.state !== VmCondition.Up || order === undefined) {
            return;
        }
        const isOld = this.options.now() - order.at > this.options.upkeepTime + upkeepMargin;
        if (wave.seenDown.has(vm) || isOld && order.isConfirmed) {
            wave.finished.add(vm);
        }
        else if (isOld) {
            // The order had no answer: it is given again, and answered as done if it was carried out.
            wave.begun.delete(vm);
        }
    }
}
