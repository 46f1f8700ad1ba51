/** Spaces the passes over what waits, so that a long backlog leaves the owner's VM time for everything else. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { longestPassPause, passShare, rememberedPasses } from "./constants.js";

/** See the module's comment. */
export class PassPacer {
    #dueAt = -Infinity;
    /** What the last passes took. */
    #durations: Milliseconds[] = [];

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
        this.#durations = [...this.#durations.slice(1 - rememberedPasses), endedAt - begunAt];
        const longest = Math.max(longestPassPause, pauseAfter(this.#usualDuration));
        this.#dueAt = endedAt + Math.min(pauseAfter(endedAt - begunAt), longest);
    }

    /** What passes take at least of late: a single one that took longer was held up. */
    get #usualDuration(): Milliseconds {
        return this.#durations.length < rememberedPasses ? 0 : Math.min(...this.#durations);
    }
}

/** The pause that leaves a pass its share of the time. */
const pauseAfter = (duration: Milliseconds): Milliseconds => duration * (1 / passShare - 1);
