/** Spaces the passes over what waits, so that a long backlog leaves the owner's VM time for everything else. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import { cycleSampleCount, maxCyclePause, maxCycleShare } from "./constants.js";

/** See the module's comment. */
export class CyclePacer {
    #nextCycleAt = -Infinity;
    /** What the last passes took. */
    #recentDurations: Milliseconds[] = [];

    constructor(private readonly clock: Clock) {}

    /** Time until the next pass may be made; 0 when it may be made now. */
    get delay(): Milliseconds {
        return Math.max(0, this.#nextCycleAt - this.clock.monotonic());
    }

    /** Makes a pass. */
    run(cycle: () => void): void {
        const begunAt = this.clock.monotonic();
        cycle();
        const endedAt = this.clock.monotonic();
        this.#recentDurations = [...this.#recentDurations.slice(1 - cycleSampleCount), endedAt - begunAt];
        const longest = Math.max(maxCyclePause, pauseAfter(this.#shortestRecentDuration));
        this.#nextCycleAt = endedAt + Math.min(pauseAfter(endedAt - begunAt), longest);
    }

    /** What passes take at least of late: a single one that took longer was held up. */
    get #shortestRecentDuration(): Milliseconds {
        return this.#recentDurations.length < cycleSampleCount ? 0 : Math.min(...this.#recentDurations);
    }
}

/** The pause that leaves a pass its share of the time. */
const pauseAfter = (duration: Milliseconds): Milliseconds => duration * (1 / maxCycleShare - 1);
