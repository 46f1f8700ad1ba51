/** Backoff for workers that restart repeatedly. */
import type { Milliseconds, WorkerId } from "@pebbledale/core";
import { maxRestartBackoff, minRestartBackoff, restartsWithoutBackoff, restartWindow } from "./constants.js";

interface RestartHistory {
    count: number;
    lastAt: Milliseconds;
}

/**
 * Delays the first poll of a worker's next link with exponential backoff after repeated restarts. Without it, a worker
 * that reports another incarnation in each answer keeps the owner and the VM busy with restarts.
 */
export class RestartBackoff {
    readonly #restarts = new Map<WorkerId, RestartHistory>();

    constructor(private readonly now: () => Milliseconds) {}

    recordRestart(worker: WorkerId): void {
        const now = this.now();
        const history = this.#restarts.get(worker);
        const isRecent = history !== undefined && now - history.lastAt < restartWindow;
        this.#restarts.set(worker, { count: isRecent ? history.count + 1 : 1, lastAt: now });
    }

    /** Delay before the first poll of the next link; 0 when there is none. */
    delayOf(worker: WorkerId): Milliseconds {
        const history = this.#restarts.get(worker);
        if (history === undefined || this.now() - history.lastAt >= restartWindow) {
            this.#restarts.delete(worker);
            return 0;
        }
        const doublings = history.count - restartsWithoutBackoff - 1;
        return doublings < 0 ? 0 : Math.min(maxRestartBackoff, minRestartBackoff * 2 ** doublings);
    }
}
