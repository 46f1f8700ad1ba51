/** Index of the free capacity of a shard's workers. */
import { dimensionCount, dimensions, type Resources } from "../resources/index.js";
import { noWorker, type PlacementDecision, type PlacementRequest, Preference, type WorkerSlot } from "./types.js";

/** Levels of free processors and of free memory. A row of cells fits into one 32-bit mask. */
const levelCount = 32;
/** A search stops after this many feasible workers. */
const maxFeasible = 8;
const initialSlots = 64;
const processorDimension = 0;
const memoryDimension = 1;
const slotDimension = 3;

const toArray = (size: Resources): Float64Array => Float64Array.from(dimensions, name => size[name]);

/**
 * Capacity and usage of workers in typed arrays, searched to place tasks.
 *
 * Workers are kept in a grid of cells by their levels of free processors and free memory. A search visits only cells whose
 * levels can hold the task, in order of preference, and stops after enough feasible workers. The cost of a decision thus
 * depends on the number of cells rather than on the number of workers.
 */
export class FleetIndex {
    #capacity = new Float64Array(initialSlots * dimensionCount);
    #free = new Float64Array(initialSlots * dimensionCount);
    #next = new Int32Array(initialSlots).fill(noWorker);
    #previous = new Int32Array(initialSlots).fill(noWorker);
    #cellOf = new Int32Array(initialSlots).fill(noWorker);
    readonly #heads = new Int32Array(levelCount * levelCount).fill(noWorker);
    readonly #rowMasks = new Uint32Array(levelCount);
    #largestProcessors = 1;
    #largestMemory = 1;
    #count = 0;
    #capacityVersion = 0;
    readonly #schedulable: boolean[] = [];
    readonly #needed = new Float64Array(dimensionCount);

    /** Number of workers added so far; workers are never removed. */
    get size(): number {
        return this.#count;
    }

    /** Incremented whenever capacity is freed. While it is unchanged, a task that did not fit still does not fit. */
    get capacityVersion(): number {
        return this.#capacityVersion;
    }

    /** Adds an empty worker, schedulable at once. */
    add(capacity: Resources): WorkerSlot {
        const worker = this.#count++;
        this.#ensureCapacity(worker);
        const amounts = toArray(capacity);
        this.#capacity.set(amounts, worker * dimensionCount);
        this.#free.set(amounts, worker * dimensionCount);
        this.#schedulable[worker] = true;
        if (capacity.processorThousandths > this.#largestProcessors || capacity.memoryMebibytes > this.#largestMemory) {
            this.#largestProcessors = Math.max(this.#largestProcessors, capacity.processorThousandths);
            this.#largestMemory = Math.max(this.#largestMemory, capacity.memoryMebibytes);
            this.#rebuild();
        }
        else {
            this.#link(worker);
        }
        return worker;
    }

    /** Sets whether a worker accepts placements. Its usage stays counted. */
    setSchedulable(worker: WorkerSlot, schedulable: boolean): void {
        if (this.#schedulable[worker] === schedulable) {
            return;
        }
        this.#schedulable[worker] = schedulable;
        this.#capacityVersion += schedulable ? 1 : 0;
        this.#relink(worker);
    }

    isSchedulable(worker: WorkerSlot): boolean {
        return this.#schedulable[worker];
    }

    /** Reserves resources on a worker. The caller must have checked that they fit. */
    reserve(worker: WorkerSlot, size: Resources): void {
        this.#change(worker, size, -1);
    }

    /** Releases reserved resources of a worker. */
    release(worker: WorkerSlot, size: Resources): void {
        this.#capacityVersion++;
        this.#change(worker, size, 1);
    }

    freeOf(worker: WorkerSlot): Resources {
        return this.#read(this.#free, worker);
    }

    /** Whether a task fits on a worker, without headroom and whether or not it is schedulable. */
    fits(worker: WorkerSlot, size: Resources): boolean {
        this.#setNeeded(size);
        return this.#hasCapacity(worker, 0);
    }

    /** Finds a worker for one task. Reserves nothing. */
    find(request: PlacementRequest): PlacementDecision {
        this.#setNeeded(request.size);
        const firstRow = this.#level(request.size.processorThousandths, this.#largestProcessors);
        const firstColumn = this.#level(request.size.memoryMebibytes, this.#largestMemory);
        const pack = request.preference === Preference.Pack;
        const allowed = (0xffff_ffff << firstColumn) >>> 0;
        let considered = 0;
        let feasible = 0;
        let best = noWorker;
        let bestScore = Infinity;
        for (let step = 0; step < levelCount - firstRow && feasible < maxFeasible; step++) {
            const row = pack ? firstRow + step : levelCount - 1 - step;
            let mask = (this.#rowMasks[row] & allowed) >>> 0;
            while (mask !== 0 && feasible < maxFeasible) {
                const column = pack ? 31 - Math.clz32(mask & -mask) : 31 - Math.clz32(mask);
                mask = (mask & ~(1 << column)) >>> 0;
                let worker = this.#heads[row * levelCount + column];
                while (worker !== noWorker && feasible < maxFeasible) {
                    considered++;
                    if (this.#hasCapacity(worker, request.headroom) && request.isExcluded?.(worker) !== true) {
                        feasible++;
                        const score = pack ? this.#leftover(worker) : -this.#leftover(worker);
                        if (score < bestScore) {
                            best = worker;
                            bestScore = score;
                        }
                    }
                    worker = this.#next[worker];
                }
            }
        }
        return { worker: best, considered, feasible };
    }

    #setNeeded(size: Resources): void {
        this.#needed[0] = size.processorThousandths;
        this.#needed[1] = size.memoryMebibytes;
        this.#needed[2] = size.accelerators;
        this.#needed[3] = size.slots;
        this.#needed[4] = size.connections;
    }

    #hasCapacity(worker: WorkerSlot, headroom: number): boolean {
        const base = worker * dimensionCount;
        const reserved = headroom * this.#capacity[base];
        if (this.#free[base] - reserved < this.#needed[0]) {
            return false;
        }
        for (let dimension = 1; dimension < dimensionCount; dimension++) {
            if (this.#free[base + dimension] < this.#needed[dimension]) {
                return false;
            }
        }
        return true;
    }

    /** Capacity left after the placement, as the sum over all dimensions of the free share. */
    #leftover(worker: WorkerSlot): number {
        const base = worker * dimensionCount;
        let sum = 0;
        for (let dimension = 0; dimension < dimensionCount; dimension++) {
            const capacity = this.#capacity[base + dimension];
            if (capacity > 0) {
                sum += (this.#free[base + dimension] - this.#needed[dimension]) / capacity;
            }
        }
        return sum;
    }

    #read(from: Float64Array, worker: WorkerSlot): Resources {
        const base = worker * dimensionCount;
        return {
            processorThousandths: from[base],
            memoryMebibytes: from[base + 1],
            accelerators: from[base + 2],
            slots: from[base + 3],
            connections: from[base + 4],
        };
    }

    #change(worker: WorkerSlot, size: Resources, sign: number): void {
        const base = worker * dimensionCount;
        this.#free[base] += sign * size.processorThousandths;
        this.#free[base + 1] += sign * size.memoryMebibytes;
        this.#free[base + 2] += sign * size.accelerators;
        this.#free[base + 3] += sign * size.slots;
        this.#free[base + 4] += sign * size.connections;
        this.#relink(worker);
    }

    #level(amount: number, largest: number): number {
        const level = Math.floor(amount * levelCount / largest);
        return level < 0 ? 0 : level >= levelCount ? levelCount - 1 : level;
    }

    #cell(worker: WorkerSlot): number {
        const base = worker * dimensionCount;
        if (!this.#schedulable[worker] || this.#free[base + slotDimension] <= 0) {
            return noWorker;
        }
        const row = this.#level(this.#free[base + processorDimension], this.#largestProcessors);
        return row * levelCount + this.#level(this.#free[base + memoryDimension], this.#largestMemory);
    }

    #relink(worker: WorkerSlot): void {
        if (this.#cell(worker) !== this.#cellOf[worker]) {
            this.#unlink(worker);
            this.#link(worker);
        }
    }

    #link(worker: WorkerSlot): void {
        const cell = this.#cell(worker);
        this.#cellOf[worker] = cell;
        if (cell === noWorker) {
            return;
        }
        const head = this.#heads[cell];
        this.#next[worker] = head;
        this.#previous[worker] = noWorker;
        if (head !== noWorker) {
            this.#previous[head] = worker;
        }
        this.#heads[cell] = worker;
        this.#rowMasks[cell >> 5] |= 1 << (cell & 31);
    }

    #unlink(worker: WorkerSlot): void {
        const cell = this.#cellOf[worker];
        if (cell === noWorker) {
            return;
        }
        const next = this.#next[worker];
        const previous = this.#previous[worker];
        if (previous === noWorker) {
            this.#heads[cell] = next;
        }
        else {
            this.#next[previous] = next;
        }
        if (next !== noWorker) {
            this.#previous[next] = previous;
        }
        if (this.#heads[cell] === noWorker) {
            this.#rowMasks[cell >> 5] &= ~(1 << (cell & 31));
        }
        this.#next[worker] = noWorker;
        this.#previous[worker] = noWorker;
        this.#cellOf[worker] = noWorker;
    }

    #rebuild(): void {
        this.#heads.fill(noWorker);
        this.#rowMasks.fill(0);
        this.#next.fill(noWorker);
        this.#previous.fill(noWorker);
        this.#cellOf.fill(noWorker);
        for (let worker = 0; worker < this.#count; worker++) {
            this.#link(worker);
        }
    }

    #ensureCapacity(worker: WorkerSlot): void {
        if (worker < this.#next.length) {
            return;
        }
        const newLength = this.#next.length * 2;
        const grow = <Values extends Float64Array | Int32Array>(old: Values, fresh: Values): Values => {
            fresh.set(old);
            return fresh;
        };
        this.#capacity = grow(this.#capacity, new Float64Array(newLength * dimensionCount));
        this.#free = grow(this.#free, new Float64Array(newLength * dimensionCount));
        this.#next = grow(this.#next, new Int32Array(newLength).fill(noWorker));
        this.#previous = grow(this.#previous, new Int32Array(newLength).fill(noWorker));
        this.#cellOf = grow(this.#cellOf, new Int32Array(newLength).fill(noWorker));
    }
}
