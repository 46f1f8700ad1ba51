/** The numbers of one life's ends: which were reported to the owner, and which the worker may forget. */
import type { EndedRun } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { sameIncarnationWindow } from "./constants.js";

/** See the module's comment. */
export class EndedRunTracker {
    #committedThrough = 0;
    #reportedThrough = 0;
    /**
     * When the life last answered, while each call since then has been answered. What tells a worker to forget its ends is sent only soon
     * after: a worker that was started again meanwhile takes the numbers for its own, and the ends that it forgets are seen by nobody.
     */
    #answeredAt: Milliseconds = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Ends up to this one are kept. */
    get committedThrough(): number {
        return this.#committedThrough;
    }

    /** Whether ends were reported that are not known to be kept. */
    get hasUncommitted(): boolean {
        return this.#reportedThrough > this.#committedThrough;
    }

    /** Ends up to `through` are kept. */
    commitThrough(through: number): void {
        this.#committedThrough = Math.max(this.#committedThrough, through);
    }

    /** What a look that is sent now lets the worker forget; its life is not sure again before the answer. */
    takeForPoll(): number {
        const isSure = this.clock.monotonic() - this.#answeredAt <= sameIncarnationWindow;
        this.#answeredAt = -Infinity;
        return isSure ? this.#committedThrough : 0;
    }

    /** The life has answered. */
    noteAnswer(): void {
        this.#answeredAt = this.clock.monotonic();
    }

    /** A call had no answer: the life may be over. */
    noteLost(): void {
        this.#answeredAt = -Infinity;
    }

    /** Those of some ends that were not reported yet; from now on they are. */
    takeUnreported(ended: readonly EndedRun[]): EndedRun[] {
        const fresh = ended.filter(({ number }) => number > this.#reportedThrough);
        this.#reportedThrough = Math.max(this.#reportedThrough, ...fresh.map(({ number }) => number));
        return fresh;
    }
}
