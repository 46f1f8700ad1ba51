/** Bounds how many lines a process logs: under overload the log must not cost the processor that callers need. */
import type { Clock, EventLevel, Milliseconds } from "@pebbledale/core";

/**
 * Lines below `warn` in one period. A line costs about 10 us of a core, so a full budget takes about one hundredth of
 * one; the busiest owner that was measured wrote 600 lines a second.
 */
export const linesPerPeriod = 1_200;
/** Lines of `warn` and above have a budget of their own, so that a flood of the others hides none of them. */
export const warningsPerPeriod = 600;
/** Length of a period in milliseconds. */
export const budgetPeriod: Milliseconds = 1_000;

const quietLevels: ReadonlySet<EventLevel> = new Set(["debug", "info"]);

/** See the module's comment. */
export class LineBudget {
    #periodBegan = -Infinity;
    #lines = 0;
    #warnings = 0;
    #leftOut = 0;

    constructor(private readonly clock: Clock) {}

    /** Lines left out since the last call that returned some. */
    takeLeftOut(): number {
        const leftOut = this.#leftOut;
        this.#leftOut = 0;
        return leftOut;
    }

    /** Notes a line that the writer could not take. */
    noteLeftOut(): void {
        this.#leftOut++;
    }

    /** Whether a new period began with lines of the last one left out, so that this is to be told. */
    get hasNews(): boolean {
        return this.#leftOut > 0 && this.#isOver;
    }

    /** Whether one more line may be written. */
    allows(level: EventLevel): boolean {
        if (this.#isOver) {
            this.#periodBegan = this.clock.monotonic();
            this.#lines = 0;
            this.#warnings = 0;
        }
        const isAllowed = quietLevels.has(level)
            ? this.#lines++ < linesPerPeriod
            : this.#warnings++ < warningsPerPeriod;
        this.#leftOut += isAllowed ? 0 : 1;
        return isAllowed;
    }

    get #isOver(): boolean {
        return this.clock.monotonic() - this.#periodBegan >= budgetPeriod;
    }
}
