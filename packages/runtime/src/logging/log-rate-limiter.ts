/** Rate limit of the log lines of a process. */
import type { Clock, EventLevel, Milliseconds } from "@pebbledale/core";

/** Maximum number of lines below `warn` in one period. */
export const maxLinesPerPeriod = 1_200;
/** Maximum number of lines of `warn` and above in one period, which lower levels cannot displace. */
export const maxWarningsPerPeriod = 600;
/** Length of a period of the rate limit. */
export const rateLimitPeriod: Milliseconds = 1_000;

const levelsBelowWarn: ReadonlySet<EventLevel> = new Set(["debug", "info"]);

/** Keeps the cost of logging bounded under overload, and counts the lines that were dropped. */
export class LogRateLimiter {
    #periodStart = -Infinity;
    #lineCount = 0;
    #warningCount = 0;
    #droppedCount = 0;

    constructor(private readonly clock: Clock) {}

    /** Returns the number of lines dropped since the last call, and resets it. */
    takeDroppedCount(): number {
        const dropped = this.#droppedCount;
        this.#droppedCount = 0;
        return dropped;
    }

    /** Counts a line that was dropped after it had passed the limit. */
    recordDropped(): void {
        this.#droppedCount++;
    }

    /** Whether the period is over and lines were dropped that are not reported yet. */
    get hasDropsToReport(): boolean {
        return this.#droppedCount > 0 && this.#isPeriodOver;
    }

    /** Counts one line against the limit of its level; beyond it, counts the line as dropped and returns false. */
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
