/** Assignment of worker links to entry VMs. */
import type { WorkerState } from "@pebbledale/cell";
import { type Epoch, type FencingToken, fencingToken, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { ownerSilenceLimit } from "../links/index.js";
import type { AssignMessage } from "../protocol/index.js";
import type { RegionMap } from "../settings/index.js";
import { assignmentsPerEpoch, tokensPerAssignment } from "./constants.js";
import { LinkNearness } from "./link-nearness.js";
import { RestartBackoff } from "./restart-backoff.js";
import type { VmLink } from "./vm-link.js";

/** The link to one worker as it is assigned to a VM. */
export interface Assignment {
    readonly link: VmLink;
    /** Address at which the link calls the worker. */
    readonly address: string;
    /** Initial fencing token of the link; identifies the assignment in the VM's reports. */
    readonly token: FencingToken;
    /** Assignment time on the owner's monotonic clock. The first complete poll of the link settles all orders sent before it. */
    readonly assignedAt: Milliseconds;
    /** Until then, a former link of this owner may still grant leases at the worker; undefined when there was none. */
    readonly formerLinkUntil: Milliseconds | undefined;
    /** Whether the first poll of the link has been applied. */
    hasPolled: boolean;
    /** Whether a poll that listed all ends has been applied. */
    hasCompletePoll: boolean;
}

/** Links are moved when one VM has this many more than another, per core. */
const allowedImbalance = 2;
/**
 * Keeps track of which VM holds the link to which worker, assigns links and balances them by processor share,
 * preferring VMs in the worker's data hall, then those in its region.
 */
export class Assignments {
    readonly #assignments = new Map<WorkerId, Assignment>();
    readonly #assignmentCounts = new Map<WorkerId, number>();
    readonly #restartBackoff: RestartBackoff;
    readonly #nearness: LinkNearness;
    /** Workers whose data hall was not known when their link was assigned; kept only where there are several regions. */
    readonly #unlocated = new Set<WorkerId>();
    /** Per worker, the time until which orders to earlier incarnations may still be carried out. */
    readonly #lateOrdersUntil = new Map<WorkerId, Milliseconds>();
    /** Per worker, the time until which the VM of its last removed link may grant leases, if it did not hear of the removal. */
    readonly #formerLinksUntil = new Map<WorkerId, Milliseconds>();

    /** `onTokensUsedUp`: called for a worker that cannot be assigned again in this epoch, as the next tokens are those of the next one. */
    constructor(
        private readonly epoch: Epoch,
        ownVm: string,
        private readonly now: () => Milliseconds,
        regions: RegionMap = new Map(),
        private readonly onTokensUsedUp: (worker: WorkerId) => void = () => undefined,
    ) {
        this.#nearness = new LinkNearness(ownVm, regions);
        this.#restartBackoff = new RestartBackoff(now);
    }

    vmOf(worker: WorkerId): VmLink | undefined {
        return this.#assignments.get(worker)?.link;
    }

    /** Records a restart of the worker; its next link may be delayed by a backoff. */
    recordRestart(worker: WorkerId): void {
        this.#restartBackoff.recordRestart(worker);
    }

    /** Unanswered orders to the worker may still be carried out, by any of its incarnations, for this long. */
    extendLateOrderWindow(worker: WorkerId, duration: Milliseconds): void {
        const until = this.now() + duration;
        if (duration > 0 && until > (this.#lateOrdersUntil.get(worker) ?? 0)) {
            this.#lateOrdersUntil.set(worker, until);
        }
    }

    /** Whether the worker's link uses an address other than `address`. */
    hasOtherAddress(worker: WorkerId, address: string): boolean {
        const assignment = this.#assignments.get(worker);
        return assignment !== undefined && assignment.address !== address;
    }

    /** The current assignment with this token; undefined when the worker has been assigned anew since. */
    find(token: FencingToken, worker: WorkerId, link: VmLink): Assignment | undefined {
        const assignment = this.#assignments.get(worker);
        return assignment?.link === link && assignment.token === token ? assignment : undefined;
    }

    /**
     * Assigns each worker that has no link to the least loaded VM of its data hall, or else of its region, or else of all VMs.
     */
    assignUnlinked(workers: Iterable<WorkerState>, links: readonly VmLink[]): void {
        if (links.length === 0) {
            return;
        }
        for (const worker of workers) {
            if (!this.#assignments.has(worker.id)) {
                this.#assign(worker, this.#nearness.leastLoaded(links, worker));
            }
        }
    }

    /**
     * Moves links from other VMs of the same data hall to a VM that has just joined until their loads are close. Where there are several regions,
     * it first takes the links that VMs farther from the workers hold.
     */
    rebalanceTo(workers: ReadonlyMap<WorkerId, WorkerState>, joined: VmLink, links: readonly VmLink[]): void {
        const near = links.filter(link => link.vm.dataHall === joined.vm.dataHall && link !== joined);
        const lastOf = (link: VmLink) => {
            const last = [...link.workers].at(-1);
            return last === undefined ? undefined : workers.get(last);
        };
        if (this.#nearness.hasSeveralRegions) {
            this.#takeNearer(workers, joined, links);
        }
        this.#level(near, joined, lastOf);
    }

    /**
     * Moves links of workers in the data hall of a VM that has just joined from VMs of other halls to it, until its load is close to theirs.
     * When the VMs of a lost hall return one after the other, each takes only its share, so that few links move twice.
     */
    returnTo(workers: ReadonlyMap<WorkerId, WorkerState>, joined: VmLink, links: readonly VmLink[]): void {
        const { dataHall } = joined.vm;
        const homeOf = (link: VmLink) => {
            for (const id of link.workers) {
                const worker = workers.get(id);
                if (worker?.entry?.dataHall === dataHall) {
                    return worker;
                }
            }
            return undefined;
        };
        this.#level(links.filter(link => link.vm.dataHall !== dataHall), joined, homeOf);
    }

    #move(worker: WorkerState, from: VmLink, to: VmLink): void {
        from.channel.send({ kind: "unassign", worker: worker.id });
        this.remove(worker.id);
        this.#assign(worker, to);
    }

    /**
     * Moves links to a VM that has just joined and is nearer to the worker than the VM that holds the link. Later VMs of its data hall take
     * their share from it.
     */
    #takeNearer(workers: ReadonlyMap<WorkerId, WorkerState>, joined: VmLink, links: readonly VmLink[]): void {
        for (const link of links.filter(other => other.vm.dataHall !== joined.vm.dataHall)) {
            for (const id of [...link.workers]) {
                const worker = workers.get(id);
                const hall = worker?.entry?.dataHall;
                if (worker !== undefined && hall !== undefined && this.#nearness.mayTake(joined, link, hall)) {
                    this.#move(worker, link, joined);
                }
            }
        }
    }

    /** Moves links that were assigned before the worker's data hall was known, and went to another region, to the worker's region. */
    moveLocated(workers: ReadonlyMap<WorkerId, WorkerState>, links: readonly VmLink[]): void {
        for (const id of this.#unlocated) {
            const worker = workers.get(id);
            const from = this.vmOf(id);
            const hall = worker?.entry?.dataHall;
            if (worker === undefined || from === undefined) {
                this.#unlocated.delete(id);
            }
            else if (hall !== undefined) {
                this.#unlocated.delete(id);
                const nearest = links.length === 0 ? from : this.#nearness.leastLoaded(links, worker);
                if (!this.#nearness.isInRegion(from, hall) && this.#nearness.isInRegion(nearest, hall)) {
                    this.#move(worker, from, nearest);
                }
            }
        }
    }

    /** Forgets the worker's link without notifying its VM. */
    remove(worker: WorkerId): void {
        const assignment = this.#assignments.get(worker);
        if (assignment === undefined) {
            return;
        }
        assignment.link.workers.delete(worker);
        this.#assignments.delete(worker);
        this.#rememberFormerLink(worker);
    }

    #rememberFormerLink(worker: WorkerId): void {
        const now = this.now();
        // The oldest come first, as all are remembered for the same time.
        this.#formerLinksUntil.delete(worker);
        this.#formerLinksUntil.set(worker, now + ownerSilenceLimit);
        for (const [other, until] of this.#formerLinksUntil) {
            if (until > now) {
                return;
            }
            this.#formerLinksUntil.delete(other);
        }
    }

    /** Forgets all links of a VM without notifying it. */
    removeAll(link: VmLink): void {
        for (const worker of [...link.workers]) {
            this.remove(worker);
        }
    }

    /** Moves links to a VM, always from the fullest of the sources that has one to give, until its load is close to that of this one. */
    #level(sources: readonly VmLink[], joined: VmLink, nextOf: (link: VmLink) => WorkerState | undefined): void {
        for (;;) {
            const [fullest] = sources
                .filter(link => nextOf(link) !== undefined)
                .sort((left, right) => this.#nearness.loadOf(right) - this.#nearness.loadOf(left));
            const worker = fullest === undefined ? undefined : nextOf(fullest);
            if (
                worker === undefined
                || this.#nearness.loadOf(fullest) - this.#nearness.loadOf(joined)
                    < allowedImbalance / joined.vm.processorShare
            ) {
                return;
            }
            this.#move(worker, fullest, joined);
        }
    }

    #assign(worker: WorkerState, link: VmLink): void {
        const count = (this.#assignmentCounts.get(worker.id) ?? 0) + 1;
        if (count >= assignmentsPerEpoch) {
            this.onTokensUsedUp(worker.id);
            return;
        }
        this.#assignmentCounts.set(worker.id, count);
        link.workers.add(worker.id);
        if (this.#nearness.hasSeveralRegions && worker.entry === undefined) {
            this.#unlocated.add(worker.id);
        }
        const token = this.#tokenOf(count);
        this.#assignments.set(worker.id, {
            link,
            address: worker.address,
            token,
            assignedAt: this.now(),
            formerLinkUntil: this.#formerLinksUntil.get(worker.id),
            hasPolled: false,
            hasCompletePoll: false,
        });
        link.channel.send({
            kind: "assign",
            worker: worker.id,
            address: worker.address,
            ...(worker.entry === undefined ? {} : { dataHall: worker.entry.dataHall }),
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

    /** Tokens increase with the owner's epoch, then with each assignment of the worker. */
    #tokenOf(count: number): FencingToken {
        return fencingToken((this.epoch * assignmentsPerEpoch + count) * tokensPerAssignment);
    }
}
