/** Index of workers by free processors. */
import type { WorkerId } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/**
 * Workers sorted by free processors at the start of a scheduling cycle.
 *
 * With hundreds of ready steps and workers, as after a change of owner, a scan of all workers for each step would block the owner
 * for tenths of a second. Free resources only shrink within a cycle, so workers below a step's size at its start can be skipped.
 */
export class CapacityIndex {
    /** By the processors that were free when the index was built. */
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

    /** Undefined when the worker is not in the index. */
    get(id: WorkerId): WorkerState | undefined {
        return this.#byId.get(id);
    }

    /** Position in {@link fullestFirst} of the first worker with at least this much free. */
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
