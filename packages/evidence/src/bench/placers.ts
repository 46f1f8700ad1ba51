/** Simple placements to measure against; each scans typed arrays of free room. */
import { dimensionCount, dimensions, FleetIndex, Preference, type Random, type Resources } from "@pebbledale/core";

/** A placement that the bench drives. */
export interface Placer {
    readonly name: string;
    /** Places one task; -1 when none fits. */
    place(size: Resources): number;
    /** Gives the room back. */
    release(worker: number, size: Resources): void;
}

/** Free room of workers in one typed array. */
export class FreeCapacityArray {
    readonly free: Float64Array;

    constructor(readonly count: number, capacity: Resources) {
        this.free = new Float64Array(count * dimensionCount);
        for (let worker = 0; worker < count; worker++) {
            this.addToFree(worker, capacity, 1);
        }
    }

    /** Adds `sign` times a size to a worker's room. */
    addToFree(worker: number, size: Resources, sign: number): void {
        const base = worker * dimensionCount;
        for (let dimension = 0; dimension < dimensionCount; dimension++) {
            this.free[base + dimension] += sign * size[dimensions[dimension]];
        }
    }

    /** Whether a size fits a worker. */
    fits(worker: number, size: Resources): boolean {
        const base = worker * dimensionCount;
        return this.free[base] >= size.processorThousandths
            && this.free[base + 1] >= size.memoryMebibytes
            && this.free[base + 2] >= size.accelerators
            && this.free[base + 3] >= size.slots
            && this.free[base + 4] >= size.connections;
    }
}

/** A placement by a scan of free room. */
abstract class ScanPlacer implements Placer {
    abstract readonly name: string;
    protected readonly capacities: FreeCapacityArray;

    constructor(count: number, capacity: Resources) {
        this.capacities = new FreeCapacityArray(count, capacity);
    }

    /** See {@link Placer.place}. */
    place(size: Resources): number {
        const worker = this.findWorker(size);
        if (worker >= 0) {
            this.capacities.addToFree(worker, size, -1);
        }
        return worker;
    }

    /** See {@link Placer.release}. */
    release(worker: number, size: Resources): void {
        this.capacities.addToFree(worker, size, 1);
    }

    /** The worker that is taken; -1 when none fits. */
    protected abstract findWorker(size: Resources): number;
}

/** The first worker that fits. */
export class FirstFit extends ScanPlacer {
    readonly name = "first fit";

    /** See {@link ScanPlacer.findWorker}. */
    protected findWorker(size: Resources): number {
        for (let worker = 0; worker < this.capacities.count; worker++) {
            if (this.capacities.fits(worker, size)) {
                return worker;
            }
        }
        return -1;
    }
}

/** A random worker that fits, after a random start. */
export class RandomFit extends ScanPlacer {
    readonly name = "random fit";

    constructor(count: number, capacity: Resources, private readonly random: Random) {
        super(count, capacity);
    }

    /** See {@link ScanPlacer.findWorker}. */
    protected findWorker(size: Resources): number {
        const { count } = this.capacities;
        const start = Math.floor(this.random.next() * count);
        for (let step = 0; step < count; step++) {
            const worker = (start + step) % count;
            if (this.capacities.fits(worker, size)) {
                return worker;
            }
        }
        return -1;
    }
}

/** The worker that is left with the least processors: a plain scan of all. */
export class BestFitScan extends ScanPlacer {
    readonly name = "best-fit scan";

    /** See {@link ScanPlacer.findWorker}. */
    protected findWorker(size: Resources): number {
        let best = -1;
        let bestFree = Infinity;
        for (let worker = 0; worker < this.capacities.count; worker++) {
            const free = this.capacities.free[worker * dimensionCount];
            if (free < bestFree && this.capacities.fits(worker, size)) {
                best = worker;
                bestFree = free;
            }
        }
        return best;
    }
}

/** The product's own index, packing. */
export class IndexPlacer implements Placer {
    readonly name = "index, pack";
    readonly #index = new FleetIndex();

    constructor(count: number, capacity: Resources) {
        for (let worker = 0; worker < count; worker++) {
            this.#index.add(capacity);
        }
    }

    /** See {@link Placer.place}. */
    place(size: Resources): number {
        const { worker } = this.#index.find({ size, preference: Preference.Pack, headroom: 0 });
        if (worker >= 0) {
            this.#index.reserve(worker, size);
        }
        return worker;
    }

    /** See {@link Placer.release}. */
    release(worker: number, size: Resources): void {
        this.#index.release(worker, size);
    }
}
