/**
 * How long the next link to a worker waits before its first look, when the worker was started again many times of late. A worker that named
 * another life at each answer kept owner and VM busy with 670 restarts a second (tests' time); with the pauses there are fewer than two.
 */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { maxRestartBackoff, minRestartBackoff, restartsWithoutBackoff, restartWindow } from "./constants.js";

interface RestartHistory {
    count: number;
    lastAt: Milliseconds;
}

/** See the module's comment. */
export class RestartBackoff {
    readonly #restarts = new Map<WorkerId, RestartHistory>();

    constructor(private readonly now: () => Milliseconds) {}

    /** A worker was started again. */
    noteRestart(worker: WorkerId): void {
        const now = this.now();
        const known = this.#restarts.get(worker);
        const isOfLate = known !== undefined && now - known.lastAt < restartWindow;
        this.#restarts.set(worker, { count: isOfLate ? known.count + 1 : 1, lastAt: now });
    }

    /** The pause before the next first look; 0 when there is none. */
    delayOf(worker: WorkerId): Milliseconds {
        const known = this.#restarts.get(worker);
        if (known === undefined || this.now() - known.lastAt >= restartWindow) {
            this.#restarts.delete(worker);
            return 0;
        }
        const doublings = known.count - restartsWithoutBackoff - 1;
        return doublings < 0 ? 0 : Math.min(maxRestartBackoff, minRestartBackoff * 2 ** doublings);
    }
}
