/**
 * Workers in the order of their room, made once a pass.
 *
 * The load that it answers: hundreds of steps that wait and hundreds of workers, as after a change of owner. To go through
 * all workers for each step takes a pass tenths of a second, in which the owner hears nobody. Within a pass room only
 * shrinks, so workers that had too little when it began need not be looked at, and the first of the others are the best fit.
 */
import type { WorkerId } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/** See the module's comment. */
export class CapacityIndex {
    /** The fullest first, by the processors that were free when the index was made. */
    readonly fullestFirst: readonly WorkerState[];
    readonly emptiestFirst: readonly WorkerState[];
    readonly #free: readonly number[];
    readonly #byId: ReadonlyMap<WorkerId, WorkerState>;

    constructor(workers: readonly WorkerState[]) {
        this.#byId = new Map(workers.map(worker => [worker.id, worker]));
        this.fullestFirst = [...workers].sort((left, right) => left.freeProcessor - right.freeProcessor);
        this.emptiestFirst = [...this.fullestFirst].reverse();
        this.#free = this.fullestFirst.map(worker => worker.freeProcessor);
    }

    /** A worker, if it was among those that the index was made of. */
    get(id: WorkerId): WorkerState | undefined {
        return this.#byId.get(id);
    }

    /** Place in {@link fullestFirst} of the first worker with at least so many thousandths of a processor free. */
    firstIndexWith(processorThousandths: number): number {
        let low = 0;
        let high = this.#free.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.#free[middle] < processorThousandths) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
