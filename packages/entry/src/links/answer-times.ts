/**
 * How long an answer of one worker may stay out before it is taken for lost.
 *
 * The estimate is that of TCP's retransmission timer (RFC 6298): the smoothed time of answers and their deviation, doubled
 * with each answer that was lost in a row.
 */
import type { Milliseconds } from "@pebbledale/core";
import { longestAnswerTime, shortestAnswerTime } from "./constants.js";

/** Weight of one answer in the smoothed time (RFC 6298). */
const timeWeight = 1 / 8;
/** Weight of one answer in the deviation (RFC 6298). */
const deviationWeight = 1 / 4;
/** An answer is lost once it is later than the smoothed time by this many deviations (RFC 6298). */
const deviations = 4;

/** See the module's comment. */
export class AnswerTimes {
    #smoothed: Milliseconds | undefined;
    #deviation: Milliseconds = 0;
    #lostInARow = 0;

    /** An answer came after this time. */
    note(took: Milliseconds): void {
        this.#lostInARow = 0;
        if (this.#smoothed === undefined) {
            this.#smoothed = took;
            this.#deviation = took / 2;
            return;
        }
        this.#deviation += (Math.abs(took - this.#smoothed) - this.#deviation) * deviationWeight;
        this.#smoothed += (took - this.#smoothed) * timeWeight;
    }

    /** An answer did not come in time. */
    noteLost(): void {
        this.#lostInARow++;
    }

    /** An answer that stays out for this long is taken for lost. */
    get limit(): Milliseconds {
        if (this.#smoothed === undefined) {
            return longestAnswerTime;
        }
        const expected = (this.#smoothed + deviations * this.#deviation) * 2 ** this.#lostInARow;
        return Math.min(longestAnswerTime, Math.max(shortestAnswerTime, expected));
    }
}
