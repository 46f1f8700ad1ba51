/** Backoff for workers that restart repeatedly. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { firstRestartPause, freeRestarts, longestRestartPause, restartMemory } from "./constants.js";

interface Restarts {
    count: number;
    lastAt: Milliseconds;
}

/**
 * Delays the first poll of a worker's next link with exponential backoff after repeated restarts. Without it, a worker
 * that reports another incarnation in each answer keeps the owner and the VM busy with restarts.
 */
export class RestartPauses {
    readonly #restarts = new Map<WorkerId, Restarts>();

    constructor(private readonly now: () => Milliseconds) {}

    note(worker: WorkerId): void {
        const now = this.now();
        const known = this.#restarts.get(worker);
        const isOfLate = known !== undefined && now - known.lastAt < restartMemory;
        this.#restarts.set(worker, { count: isOfLate ? known.count + 1 : 1, lastAt: now });
    }

    /** Delay before the first poll of the next link; 0 when there is none. */
    of(worker: WorkerId): Milliseconds {
        const known = this.#restarts.get(worker);
        if (known === undefined || this.now() - known.lastAt >= restartMemory) {
            this.#restarts.delete(worker);
            return 0;
        }
        const doublings = known.count - freeRestarts - 1;
        return doublings < 0 ? 0 : Math.min(longestRestartPause, firstRestartPause * 2 ** doublings);
    }
}
