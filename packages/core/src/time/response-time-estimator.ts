/** Response timeout that adapts to the response times of a server. */
import type { Milliseconds } from "./milliseconds.js";

/** Weight of a sample in the smoothed response time (RFC 6298). */
const smoothedWeight = 1 / 8;
/** Weight of a sample in the deviation (RFC 6298). */
const deviationWeight = 1 / 4;
/** The timeout exceeds the smoothed time by this many deviations (RFC 6298). */
const deviationFactor = 4;

/** Bounds of the response timeout. */
export interface TimeoutBounds {
    readonly min: Milliseconds;
    /** Upper bound, which also applies until there is a sample. */
    readonly max: Milliseconds;
}

/**
 * Estimates the response timeout of one server like TCP's retransmission timer (RFC 6298): from the smoothed response time and
 * its deviation, doubled with each consecutive timeout.
 */
export class ResponseTimeEstimator {
    #smoothed: Milliseconds | undefined;
    #deviation: Milliseconds = 0;
    #consecutiveTimeouts = 0;

    constructor(private readonly bounds: TimeoutBounds) {}

    recordResponse(duration: Milliseconds): void {
        this.#consecutiveTimeouts = 0;
        if (this.#smoothed === undefined) {
            this.#smoothed = duration;
            this.#deviation = duration / 2;
            return;
        }
        this.#deviation += (Math.abs(duration - this.#smoothed) - this.#deviation) * deviationWeight;
        this.#smoothed += (duration - this.#smoothed) * smoothedWeight;
    }

    /** Records that a response did not arrive in time. */
    recordTimeout(): void {
        this.#consecutiveTimeouts++;
    }

    /** Whether any response was recorded. */
    get hasSamples(): boolean {
        return this.#smoothed !== undefined;
    }

    /** Time after which a pending response should be considered lost. */
    get timeout(): Milliseconds {
        const { min, max } = this.bounds;
        if (this.#smoothed === undefined) {
            return max;
        }
        const expected = (this.#smoothed + deviationFactor * this.#deviation) * 2 ** this.#consecutiveTimeouts;
        return Math.min(max, Math.max(min, expected));
    }
}
