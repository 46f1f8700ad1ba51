/** Timer for periodic actions within a loop. */
import type { Clock, Milliseconds } from "@pebbledale/core";

/** Runs an action at most once per interval, when polled by a loop. */
export class IntervalTimer {
    #lastRunAt: Milliseconds;

    /** `interval`: minimum time between two runs; the first one is due after it has passed once. */
    constructor(private readonly clock: Clock, private readonly interval: Milliseconds) {
        this.#lastRunAt = clock.monotonic();
    }

    runIfDue(action: () => void): void {
        const now = this.clock.monotonic();
        if (now - this.#lastRunAt >= this.interval) {
            this.#lastRunAt = now;
            action();
        }
    }
}
