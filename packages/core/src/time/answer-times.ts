/**
 * How long an answer of one server may stay out before it is taken for lost.
 *
 * The estimate is that of TCP's retransmission timer (RFC 6298): the smoothed time of answers and their deviation, doubled
 * with each answer that was lost in a row.
 */
import type { Milliseconds } from "./milliseconds.js";

/** Weight of one answer in the smoothed time (RFC 6298). */
const smoothedWeight = 1 / 8;
/** Weight of one answer in the deviation (RFC 6298). */
const deviationWeight = 1 / 4;
/** An answer is lost once it is later than the smoothed time by this many deviations (RFC 6298). */
const deviationFactor = 4;

/** Bounds of the estimate. */
export interface TimeoutBounds {
    /** No answer is taken for lost before this. */
    readonly min: Milliseconds;
    /** An answer is taken for lost after this, whatever earlier ones took; also before there was any. */
    readonly max: Milliseconds;
}

/** See the module's comment. */
export class ResponseTimeEstimator {
    #smoothed: Milliseconds | undefined;
    #deviation: Milliseconds = 0;
    #consecutiveTimeouts = 0;

    constructor(private readonly bounds: TimeoutBounds) {}

    /** An answer came after this time. */
    recordResponse(took: Milliseconds): void {
        this.#consecutiveTimeouts = 0;
        if (this.#smoothed === undefined) {
            this.#smoothed = took;
            this.#deviation = took / 2;
            return;
        }
        this.#deviation += (Math.abs(took - this.#smoothed) - this.#deviation) * deviationWeight;
        this.#smoothed += (took - this.#smoothed) * smoothedWeight;
    }

    /** An answer did not come in time. */
    recordTimeout(): void {
        this.#consecutiveTimeouts++;
    }

    /** Whether there was an answer. */
    get hasSamples(): boolean {
        return this.#smoothed !== undefined;
    }

    /** An answer that stays out for this long is taken for lost. */
    get timeout(): Milliseconds {
        const { min: shortest, max: longest } = this.bounds;
        if (this.#smoothed === undefined) {
            return longest;
        }
        const expected = (this.#smoothed + deviationFactor * this.#deviation) * 2 ** this.#consecutiveTimeouts;
        return Math.min(longest, Math.max(shortest, expected));
    }
}
