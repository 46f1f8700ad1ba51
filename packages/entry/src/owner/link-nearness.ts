/** Loads of VMs and their nearness to workers, by which links are assigned. */
import type { WorkerState } from "@pebbledale/cell";
import type { DataHallName } from "@pebbledale/core";
import { hasSeveralRegions, type RegionMap } from "../settings/index.js";
import type { VmLink } from "./vm-link.js";

/** A VM of a worker's region is preferred while it holds fewer links than this, whatever the others hold. */
const bearableLinks = 8;
/** VMs of a worker's region are preferred up to this many times the load of the least loaded VM: few that are left cannot hold all links. */
const maxRegionLoad = 3;
/** Number of links added to the load of the owner's VM to account for its scheduling work. */
const ownerLoadOffset = 4;

/** Chooses the VM that should hold a worker's link. */
export class LinkNearness {
    readonly hasSeveralRegions: boolean;

    constructor(private readonly ownVm: string, private readonly regions: RegionMap) {
        this.hasSeveralRegions = hasSeveralRegions(regions);
    }

    /** The least loaded VM of a worker's data hall, or else of its region unless its load is too high, or else of all VMs. */
    leastLoaded(links: readonly VmLink[], worker: WorkerState): VmLink {
        const hall = worker.entry?.dataHall;
        const inHall = links.filter(link => link.vm.dataHall === hall);
        if (inHall.length > 0) {
            return this.#leastLoadedOf(inHall);
        }
        const leastLoaded = this.#leastLoadedOf(links);
        const inRegion = this.hasSeveralRegions && hall !== undefined
            ? links.filter(link => this.isInRegion(link, hall))
            : [];
        if (inRegion.length === 0) {
            return leastLoaded;
        }
        const nearest = this.#leastLoadedOf(inRegion);
        return this.#isLoadBearable(nearest, leastLoaded, maxRegionLoad) ? nearest : leastLoaded;
    }

    #leastLoadedOf(links: readonly VmLink[]): VmLink {
        return links.reduce((best, link) => this.loadOf(link) < this.loadOf(best) ? link : best);
    }

    /** Links per core, to which the owner's scheduling work adds. */
    loadOf(link: VmLink): number {
        return link.loadWithOneMore + (link.vm.name === this.ownVm ? ownerLoadOffset / link.vm.processorShare : 0);
    }

    /** Whether a VM that has joined is nearer to a data hall than the holder of a link there, and its load lets it take the link. */
    mayTake(joined: VmLink, holder: VmLink, hall: DataHallName): boolean {
        if (holder.vm.dataHall === hall) {
            return false;
        }
        if (this.isInRegion(holder, hall)) {
            return joined.vm.dataHall === hall && this.#isLoadBearable(joined, holder, 1);
        }
        return (joined.vm.dataHall === hall || this.isInRegion(joined, hall))
            && this.#isLoadBearable(joined, holder, maxRegionLoad);
    }

    /** Whether the load of a VM near a worker, at most `ratio` times that of another VM, lets it have the link. */
    #isLoadBearable(near: VmLink, other: VmLink, ratio: number): boolean {
        return near.workers.size < bearableLinks || this.loadOf(near) <= ratio * this.loadOf(other);
    }

    /** Whether a VM is in the region of a data hall. */
    isInRegion(link: VmLink, hall: DataHallName): boolean {
        const region = this.regions.get(hall);
        return region !== undefined && this.regions.get(link.vm.dataHall) === region;
    }
}
