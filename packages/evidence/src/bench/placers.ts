/** The scheduler's placement index and simple baselines behind one interface. */
import { dimensionCount, dimensions, FleetIndex, Preference, type Random, type Resources } from "@pebbledale/core";

/** Places tasks on workers, which are numbered from 0. */
export interface Placer {
    readonly name: string;
    /** Reserves capacity for one task; returns the worker, or -1 when it fits on none. */
    place(size: Resources): number;
    /** Releases the capacity of one task. */
    release(worker: number, size: Resources): void;
}

/** Free capacity of all workers in one typed array, indexed by worker and resource dimension. */
export class FreeCapacityArray {
    readonly free: Float64Array;

    constructor(readonly count: number, capacity: Resources) {
        this.free = new Float64Array(count * dimensionCount);
        for (let worker = 0; worker < count; worker++) {
            this.addToFree(worker, capacity, 1);
        }
    }

    /** Adds a size to a worker's free capacity; `sign` is 1, or -1 to subtract. */
    addToFree(worker: number, size: Resources, sign: number): void {
        const base = worker * dimensionCount;
        for (let dimension = 0; dimension < dimensionCount; dimension++) {
            this.free[base + dimension] += sign * size[dimensions[dimension]];
        }
    }

    fits(worker: number, size: Resources): boolean {
        const base = worker * dimensionCount;
        return this.free[base] >= size.processorThousandths
            && this.free[base + 1] >= size.memoryMebibytes
            && this.free[base + 2] >= size.accelerators
            && this.free[base + 3] >= size.slots
            && this.free[base + 4] >= size.connections;
    }
}

/** Base of the placers that scan the free capacities linearly. */
abstract class ScanPlacer implements Placer {
    abstract readonly name: string;
    protected readonly capacities: FreeCapacityArray;

    constructor(count: number, capacity: Resources) {
        this.capacities = new FreeCapacityArray(count, capacity);
    }

    place(size: Resources): number {
        const worker = this.findWorker(size);
        if (worker >= 0) {
            this.capacities.addToFree(worker, size, -1);
        }
        return worker;
    }

    release(worker: number, size: Resources): void {
        this.capacities.addToFree(worker, size, 1);
    }

    /** Selects a worker; -1 when the task fits on none. */
    protected abstract findWorker(size: Resources): number;
}

/** Selects the first worker on which the task fits. */
export class FirstFit extends ScanPlacer {
    readonly name = "first fit";

    protected findWorker(size: Resources): number {
        for (let worker = 0; worker < this.capacities.count; worker++) {
            if (this.capacities.fits(worker, size)) {
                return worker;
            }
        }
        return -1;
    }
}

/** Selects the first worker on which the task fits, from a random position on. */
export class RandomFit extends ScanPlacer {
    readonly name = "random fit";

    constructor(count: number, capacity: Resources, private readonly random: Random) {
        super(count, capacity);
    }

    protected findWorker(size: Resources): number {
        const { count } = this.capacities;
        const start = Math.floor(this.random.next() * count);
        for (let offset = 0; offset < count; offset++) {
            const worker = (start + offset) % count;
            if (this.capacities.fits(worker, size)) {
                return worker;
            }
        }
        return -1;
    }
}

/** Selects the worker with the fewest free processors on which the task fits. */
export class BestFitScan extends ScanPlacer {
    readonly name = "best-fit scan";

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

/** Uses the scheduler's {@link FleetIndex} with the preference to pack. */
export class IndexPlacer implements Placer {
    readonly name = "index, pack";
    readonly #index = new FleetIndex();

    constructor(count: number, capacity: Resources) {
        for (let worker = 0; worker < count; worker++) {
            this.#index.add(capacity);
        }
    }

    place(size: Resources): number {
        const { worker } = this.#index.find({ size, preference: Preference.Pack, headroom: 0 });
        if (worker >= 0) {
            this.#index.reserve(worker, size);
        }
        return worker;
    }

    release(worker: number, size: Resources): void {
        this.#index.release(worker, size);
    }
}
