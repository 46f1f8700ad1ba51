/** Pacing of scheduling cycles. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { longestPassPause, passShare, rememberedPasses } from "./constants.js";

/**
 * Limits scheduling cycles to a fixed share of the owner's time, so that a long backlog does not delay messages and
 * calls.
 */
export class PassPacer {
    #dueAt = -Infinity;
    #durations: Milliseconds[] = [];

    constructor(private readonly clock: Clock) {}

    /** Time until the next cycle may run; 0 when it may run now. */
    get wait(): Milliseconds {
        return Math.max(0, this.#dueAt - this.clock.monotonic());
    }

    /** Runs a cycle and measures it. */
    run(pass: () => void): void {
        const begunAt = this.clock.monotonic();
        pass();
        const endedAt = this.clock.monotonic();
        this.#durations = [...this.#durations.slice(1 - rememberedPasses), endedAt - begunAt];
        const longest = Math.max(longestPassPause, pauseAfter(this.#usualDuration));
        this.#dueAt = endedAt + Math.min(pauseAfter(endedAt - begunAt), longest);
    }

    /** Minimum duration of the recent cycles: a single longer one was delayed by something else. */
    get #usualDuration(): Milliseconds {
        return this.#durations.length < rememberedPasses ? 0 : Math.min(...this.#durations);
    }
}

/** The pause after a cycle of this duration that keeps cycles within their share of the time. */
const pauseAfter = (duration: Milliseconds): Milliseconds => duration * (1 / passShare - 1);
