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
    #answeredAt: Milliseconds = -Infinity;

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
        const isSure = this.clock.monotonic() - this.#answeredAt <= sameIncarnationWindow;
        this.#answeredAt = -Infinity;
        return isSure ? this.#committedThrough : 0;
    }

    noteAnswer(): void {
        this.#answeredAt = this.clock.monotonic();
    }

    /** Records an unanswered call, after which the worker may have another incarnation. */
    noteLost(): void {
        this.#answeredAt = -Infinity;
    }

    /** Returns the runs that were not reported yet and marks them as reported. */
    takeUnreported(ended: readonly EndedRun[]): EndedRun[] {
        const fresh = ended.filter(({ number }) => number > this.#reportedThrough);
        this.#reportedThrough = Math.max(this.#reportedThrough, ...fresh.map(({ number }) => number));
        return fresh;
    }
}
