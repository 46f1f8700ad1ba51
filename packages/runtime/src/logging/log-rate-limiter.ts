/** Bounds how many lines a process logs: under overload the log must not cost the processor that callers need. */
import type { Clock, EventLevel, Milliseconds } from "@pebbledale/core";

/**
 * Lines below `warn` in one period. A line costs about 10 us of a core, so a full budget takes about one hundredth of
 * one; the busiest owner that was measured wrote 600 lines a second.
 */
export const maxLinesPerPeriod = 1_200;
/** Lines of `warn` and above have a budget of their own, so that a flood of the others hides none of them. */
export const maxWarningsPerPeriod = 600;
/** Length of a period in milliseconds. */
export const rateLimitPeriod: Milliseconds = 1_000;

const levelsBelowWarn: ReadonlySet<EventLevel> = new Set(["debug", "info"]);

/** See the module's comment. */
export class LogRateLimiter {
    #periodStart = -Infinity;
    #lineCount = 0;
    #warningCount = 0;
    #droppedCount = 0;

    constructor(private readonly clock: Clock) {}

    /** Lines left out since the last call that returned some. */
    takeDroppedCount(): number {
        const dropped = this.#droppedCount;
        this.#droppedCount = 0;
        return dropped;
    }

    /** Notes a line that the writer could not take. */
    recordDropped(): void {
        this.#droppedCount++;
    }

    /** Whether a new period began with lines of the last one left out, so that this is to be told. */
    get hasDropsToReport(): boolean {
        return this.#droppedCount > 0 && this.#isPeriodOver;
    }

    /** Whether one more line may be written. */
    tryAcquire(level: EventLevel): boolean {
        if (this.#isPeriodOver) {
            this.#periodStart = this.clock.monotonic();
            this.#lineCount = 0;
            this.#warningCount = 0;
        }
        const isAllowed = levelsBelowWarn.has(level)
            ? this.#lineCount++ < maxLinesPerPeriod
            : this.#warningCount++ < maxWarningsPerPeriod;
        this.#droppedCount += isAllowed ? 0 : 1;
        return isAllowed;
    }

    get #isPeriodOver(): boolean {
        return this.clock.monotonic() - this.#periodStart >= rateLimitPeriod;
    }
}
