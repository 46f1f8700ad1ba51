/** Pacing of scheduling cycles. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { cycleSampleCount, maxCyclePause, maxCycleShare } from "./constants.js";

/**
 * Limits scheduling cycles to a fixed share of the owner's time, so that a long backlog does not delay messages and
 * calls.
 */
export class CyclePacer {
    #nextCycleAt = -Infinity;
    #recentDurations: Milliseconds[] = [];

    constructor(private readonly clock: Clock) {}

    /** Time until the next cycle may run; 0 when it may run now. */
    get delay(): Milliseconds {
        return Math.max(0, this.#nextCycleAt - this.clock.monotonic());
    }

    /** Runs a cycle and measures it. */
    run(cycle: () => void): void {
        const startedAt = this.clock.monotonic();
        cycle();
        const endedAt = this.clock.monotonic();
        this.#recentDurations = [...this.#recentDurations.slice(1 - cycleSampleCount), endedAt - startedAt];
        const maxPause = Math.max(maxCyclePause, pauseAfter(this.#shortestRecentDuration));
        this.#nextCycleAt = endedAt + Math.min(pauseAfter(endedAt - startedAt), maxPause);
    }

    /** Minimum duration of the recent cycles: a single longer one was delayed by something else. */
    get #shortestRecentDuration(): Milliseconds {
        return this.#recentDurations.length < cycleSampleCount ? 0 : Math.min(...this.#recentDurations);
    }
}

/** The pause after a cycle of this duration that keeps cycles within their share of the time. */
const pauseAfter = (duration: Milliseconds): Milliseconds => duration * (1 / maxCycleShare - 1);
