/** Which VM has the link to which worker. */
import type { WorkerState } from "@pebbledale/cell";
import { type Epoch, type FencingToken, fencingToken, type Milliseconds, type WorkerId } from "@pebbledale/core";
import type { AssignMessage } from "../protocol/index.js";
import { assignmentsPerEpoch, tokensPerAssignment } from "./constants.js";
import { RestartBackoff } from "./restart-pauses.js";
import type { VmLink } from "./vm-link.js";

/** One worker's link. */
export interface Assignment {
    readonly vm: VmLink;
    /** Where the link calls the worker. */
    readonly address: string;
    /** The token that the link was given; names the assignment in what the VM reports. */
    readonly token: FencingToken;
    /** When it was assigned, by the owner's monotonic clock: what was ordered before is settled by its first look. */
    readonly assignedAt: Milliseconds;
    /** Whether its first look was taken in. */
    hasPolled: boolean;
}

/** A VM may have this many more links than another, for each share of a core, before some are moved. */
const allowedImbalance = 2;
/** The owner's own VM counts as loaded with this many links more: it also decides. */
const ownerLoadOffset = 4;

/** See the module's comment. */
export class Assignments {
    readonly #assignments = new Map<WorkerId, Assignment>();
    readonly #assignmentCounts = new Map<WorkerId, number>();
    readonly #restartBackoff: RestartBackoff;
    /** Until when orders to former lives of a worker may be carried out, where any may. */
    readonly #lateOrdersUntil = new Map<WorkerId, Milliseconds>();

    constructor(
        private readonly epoch: Epoch,
        private readonly ownVm: string,
        private readonly now: () => Milliseconds,
    ) {
        this.#restartBackoff = new RestartBackoff(now);
    }

    /** The VM that has the link to a worker. */
    vmOf(worker: WorkerId): VmLink | undefined {
        return this.#assignments.get(worker)?.vm;
    }

    /** A worker was started again: its next link may have to wait. */
    noteRestart(worker: WorkerId): void {
        this.#restartBackoff.noteRestart(worker);
    }

    /** For so long an order that got no answer may still be carried out by any life of a worker. */
    extendLateOrderWindow(worker: WorkerId, duration: Milliseconds): void {
        const until = this.now() + duration;
        if (duration > 0 && until > (this.#lateOrdersUntil.get(worker) ?? 0)) {
            this.#lateOrdersUntil.set(worker, until);
        }
    }

    /** Whether a worker's link calls another address than this. */
    hasOtherAddress(worker: WorkerId, address: string): boolean {
        const assignment = this.#assignments.get(worker);
        return assignment !== undefined && assignment.address !== address;
    }

    /** The assignment under which a VM reports of a worker; undefined when the worker has another one by now. */
    find(token: FencingToken, worker: WorkerId, vm: VmLink): Assignment | undefined {
        const assignment = this.#assignments.get(worker);
        return assignment?.vm === vm && assignment.token === token ? assignment : undefined;
    }

    /** Gives workers without a link to VMs, those of their data hall first, and evens VMs out. */
    assignUnlinked(workers: Iterable<WorkerState>, vms: readonly VmLink[]): void {
        if (vms.length === 0) {
            return;
        }
        for (const worker of workers) {
            if (!this.#assignments.has(worker.id)) {
                this.#assign(worker, this.#leastLoaded(vms, worker));
            }
        }
    }

    /** Moves links to a VM that has just joined, as long as others of its data hall have many more. */
    rebalanceTo(workers: ReadonlyMap<WorkerId, WorkerState>, joined: VmLink, vms: readonly VmLink[]): void {
        const near = vms.filter(vm => vm.vm.dataHall === joined.vm.dataHall && vm !== joined);
        for (;;) {
            const fullest = near.reduce<VmLink | undefined>(
                (best, vm) => best === undefined || this.#loadOf(vm) > this.#loadOf(best) ? vm : best,
                undefined,
            );
            const moved = fullest === undefined ? undefined : [...fullest.workers].at(-1);
            const worker = moved === undefined ? undefined : workers.get(moved);
            if (
                fullest === undefined || worker === undefined
                || this.#loadOf(fullest) - this.#loadOf(joined) < allowedImbalance / joined.vm.processorShare
            ) {
                return;
            }
            fullest.channel.send({ kind: "unassign", worker: worker.id });
            this.remove(worker.id);
            this.#assign(worker, joined);
        }
    }

    /** A worker has no link any more. */
    remove(worker: WorkerId): void {
        this.#assignments.get(worker)?.vm.workers.delete(worker);
        this.#assignments.delete(worker);
    }

    /** Takes all links of a VM away. */
    removeAll(vm: VmLink): void {
        for (const worker of [...vm.workers]) {
            this.remove(worker);
        }
    }

    #leastLoaded(vms: readonly VmLink[], worker: WorkerState): VmLink {
        const near = vms.filter(vm => vm.vm.dataHall === worker.entry?.dataHall);
        return (near.length > 0 ? near : vms)
            .reduce((best, vm) => this.#loadOf(vm) < this.#loadOf(best) ? vm : best);
    }

    #loadOf(vm: VmLink): number {
        return vm.loadWithOneMore + (vm.vm.name === this.ownVm ? ownerLoadOffset / vm.vm.processorShare : 0);
    }

    #assign(worker: WorkerState, vm: VmLink): void {
        const count = (this.#assignmentCounts.get(worker.id) ?? 0) + 1;
        this.#assignmentCounts.set(worker.id, count);
        vm.workers.add(worker.id);
        const token = this.#tokenOf(count);
        this.#assignments.set(worker.id, {
            vm,
            address: worker.address,
            token,
            assignedAt: this.now(),
            hasPolled: false,
        });
        vm.channel.send({
            kind: "assign",
            worker: worker.id,
            address: worker.address,
            ...(worker.incarnation === undefined ? {} : { life: worker.incarnation }),
            token,
            isLeaving: worker.entry?.isDraining === true,
            ...this.#lateOrderWindowOf(worker.id),
            ...this.#restartDelayOf(worker.id),
        });
    }

    #restartDelayOf(worker: WorkerId): Pick<AssignMessage, "pause"> {
        const pause = this.#restartBackoff.delayOf(worker);
        return pause > 0 ? { pause } : {};
    }

    #lateOrderWindowOf(worker: WorkerId): Pick<AssignMessage, "doubtfulFor"> {
        const doubtfulFor = (this.#lateOrdersUntil.get(worker) ?? 0) - this.now();
        if (doubtfulFor > 0) {
            return { doubtfulFor };
        }
        this.#lateOrdersUntil.delete(worker);
        return {};
    }

    /** Tokens of a later owner, and of a later assignment, are higher than all of earlier ones. */
    #tokenOf(count: number): FencingToken {
        return fencingToken((this.epoch * assignmentsPerEpoch + count) * tokensPerAssignment);
    }
}
