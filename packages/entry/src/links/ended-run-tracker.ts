/** Acknowledgement state of a worker's ended runs. */
import type { EndedRun } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { sameIncarnationWindow } from "./constants.js";

/**
 * Tracks, by number, which ended runs of one incarnation of a worker were reported to the owner and which the worker
 * may forget because their records are committed.
 */
export class EndedRunTracker {
    #committedThrough = 0;
    #reportedThrough = 0;
    /**
     * Time of the last answer, reset by each unanswered call. The worker is only told to forget ended runs soon after
     * an answer: a new incarnation would apply the numbers to its own runs, whose ends would then never be seen.
     */
    #lastAnswerAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Number up to which ended runs are committed. */
    get committedThrough(): number {
        return this.#committedThrough;
    }

    get hasUncommitted(): boolean {
        return this.#reportedThrough > this.#committedThrough;
    }

    /** Marks ended runs up to `through` as committed. */
    commitThrough(through: number): void {
        this.#committedThrough = Math.max(this.#committedThrough, through);
    }

    /**
     * The number up to which a poll sent now may let the worker forget ended runs; 0 unless its incarnation is certain.
     */
    takeForPoll(): number {
        const isSameIncarnation = this.clock.monotonic() - this.#lastAnswerAt <= sameIncarnationWindow;
        this.#lastAnswerAt = -Infinity;
        return isSameIncarnation ? this.#committedThrough : 0;
    }

    recordAnswer(): void {
        this.#lastAnswerAt = this.clock.monotonic();
    }

    /** Records an unanswered call, after which the worker may have another incarnation. */
    recordUnanswered(): void {
        this.#lastAnswerAt = -Infinity;
    }

    /** Returns the runs that were not reported yet and marks them as reported. */
    takeUnreported(ended: readonly EndedRun[]): EndedRun[] {
        const unreported = ended.filter(({ number }) => number > this.#reportedThrough);
        this.#reportedThrough = Math.max(this.#reportedThrough, ...unreported.map(({ number }) => number));
        return unreported;
    }
}
