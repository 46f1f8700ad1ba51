/** Which VMs should own the cell where data halls stand in several regions. */
import type { DataHallName, Milliseconds } from "@pebbledale/core";
import { hasSeveralRegions, type RegionMap } from "../settings/index.js";
import type { EntryVm } from "./member-entries.js";

/** A region is farther from the store than the nearest one if its calls take longer by this factor and by {@link minFartherBy}. */
const fartherRatio = 1.5;
/** Smaller differences are within what a loaded VM adds to a call. */
const minFartherBy: Milliseconds = 5;
/** A VM near the store is preferred if it has at least this share of the largest VM's processor time. */
const minSizeShare = 0.5;
/** Position among the sorted times of a region's VMs: low, as load only lengthens a call, and above the least if one VM is wrong. */
const timeQuantile = 0.25;

/** Tells which VMs should own the cell. */
export class OwnerPlacement {
    readonly #hasSeveralRegions: boolean;

    constructor(private readonly regions: RegionMap) {
        this.#hasSeveralRegions = hasSeveralRegions(regions);
    }

    /**
     * Names of the VMs that stand in regions near the store and are large enough; undefined where that makes no difference: with one region,
     * without measurements of two regions, if no region is clearly farther, or if no VM near the store is large enough.
     */
    preferredOf(vms: Iterable<EntryVm>): ReadonlySet<string> | undefined {
        if (!this.#hasSeveralRegions) {
            return undefined;
        }
        const all = [...vms];
        const regions = this.#sortRegions(all);
        if (regions === undefined) {
            return undefined;
        }
        const largest = Math.max(...all.map(vm => vm.processorShare));
        const preferred = all.filter(vm =>
            regions.near.has(this.regions.get(vm.dataHall) ?? "") && vm.processorShare >= largest * minSizeShare
        );
        return preferred.length === 0 ? undefined : new Set(preferred.map(vm => vm.name));
    }

    /** Whether a data hall is in a region that is clearly farther from the store than another one. */
    isFar(hall: DataHallName, vms: Iterable<EntryVm>): boolean {
        return this.#hasSeveralRegions
            && this.#sortRegions([...vms])?.far.has(this.regions.get(hall) ?? "") === true;
    }

    /** The regions with measurements; undefined if none is clearly farther from the store. */
    #sortRegions(vms: readonly EntryVm[]): { readonly near: Set<string>; readonly far: Set<string>; } | undefined {
        const times = this.#storeTimes(vms);
        const nearest = Math.min(...times.values());
        const isFarther = ([, time]: [string, Milliseconds]) =>
            time > nearest * fartherRatio && time - nearest > minFartherBy;
        const far = new Set([...times].filter(isFarther).map(([region]) => region));
        const near = new Set([...times.keys()].filter(region => !far.has(region)));
        return far.size === 0 ? undefined : { near, far };
    }

    /** Typical time of a call to the store from each region with measurements. */
    #storeTimes(vms: readonly EntryVm[]): Map<string, Milliseconds> {
        const measured = new Map<string, Milliseconds[]>();
        for (const { dataHall, storeTime } of vms) {
            const region = this.regions.get(dataHall);
            if (region !== undefined && typeof storeTime === "number" && Number.isFinite(storeTime)) {
                measured.set(region, [...measured.get(region) ?? [], storeTime]);
            }
        }
        return new Map([...measured].map(([region, times]) => {
            times.sort((left, right) => left - right);
            return [region, times[Math.ceil((times.length - 1) * timeQuantile)]];
        }));
    }
}
