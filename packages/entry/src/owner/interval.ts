/** Something that a loop does now and then. */
import type { Clock, Milliseconds } from "@pebbledale/core";

/** See the module's comment. */
export class IntervalTimer {
    #lastAt: Milliseconds;

    /** `length`: time between two times that it is done; the first comes after it. */
    constructor(private readonly clock: Clock, private readonly interval: Milliseconds) {
        this.#lastAt = clock.monotonic();
    }

    /** Does it if it is due. */
    runIfDue(action: () => void): void {
        const now = this.clock.monotonic();
        if (now - this.#lastAt >= this.interval) {
            this.#lastAt = now;
            action();
        }
    }
}
