/** Spaces the passes over what waits, so that a long backlog leaves the owner's VM time for everything else. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { longestPassPause, passShare } from "./constants.js";

/** See the module's comment. */
export class PassPacer {
    #dueAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Time until the next pass may be made; 0 when it may be made now. */
    get wait(): Milliseconds {
        return Math.max(0, this.#dueAt - this.clock.monotonic());
    }

    /** Makes a pass. */
    run(pass: () => void): void {
        const begunAt = this.clock.monotonic();
        pass();
        const endedAt = this.clock.monotonic();
        const pause = (endedAt - begunAt) * (1 / passShare - 1);
        this.#dueAt = endedAt + Math.min(pause, longestPassPause);
    }
}
