/** Time as the product sees it: an interface that is passed in, never the process's own clock. */

import { GapWatch } from "./gap-watch.js";
import type { Milliseconds } from "./milliseconds.js";

/** Source of time and of waiting. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never goes back. For lengths of time. */
    monotonic(): Milliseconds;
    /** Wall-clock time, for deadlines that callers give and for logs. */
    now(): Date;
    /** Resolves after `duration`, or at once when `signal` aborts. Never rejects. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** A clock that knows when it may have missed time. */
export interface GapClock extends Clock {
    /**
     * By the monotonic clock: since when it is sure to have counted all time; -Infinity while there was no sign of a gap.
     * What was confirmed before that moment may be older than it looks. Cheap enough to be asked at each use.
     */
    countedSince(): Milliseconds;
}

/** The clock of the process. The only place that reads it. */
export class SystemClock implements GapClock {
    readonly #gaps = new GapWatch();

    countedSince(): Milliseconds {
        return this.#gaps.check(this.monotonic(), this.now().getTime());
    }

    monotonic(): Milliseconds {
        return performance.now();
    }

    now(): Date {
        return new Date();
    }

    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, Math.max(0, duration));
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}

/** A clock that stands still until a test moves it. */
export class ManualClock implements GapClock {
    readonly #gaps = new GapWatch();
    #elapsed = 0;
    /** By how much the time of day is ahead of the monotonic clock since the start. */
    #ahead = 0;
    readonly #waiting = new Set<{ readonly at: Milliseconds; readonly resolve: () => void; }>();

    constructor(private readonly start: Date = new Date("2026-01-01T00:00:00Z")) {}

    monotonic(): Milliseconds {
        return this.#elapsed;
    }

    now(): Date {
        return new Date(this.start.getTime() + this.#elapsed + this.#ahead);
    }

    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                signal?.removeEventListener("abort", abort);
                resolve();
            };
            const entry = { at: this.#elapsed + duration, resolve: finish };
            const abort = () => {
                this.#waiting.delete(entry);
                finish();
            };
            this.#waiting.add(entry);
            signal?.addEventListener("abort", abort, { once: true });
        });
    }

    countedSince(): Milliseconds {
        return this.#gaps.check(this.monotonic(), this.now().getTime());
    }

    /** The machine is suspended for `duration`, or its time of day is set ahead: the monotonic clock stands still. */
    suspend(duration: Milliseconds): void {
        this.countedSince();
        this.#ahead += duration;
    }

    /** Moves time on by `duration` and wakes all who waited for it. */
    advance(duration: Milliseconds): void {
        this.#elapsed += duration;
        const due = [...this.#waiting].filter(entry => entry.at <= this.#elapsed);
        due.forEach(entry => this.#waiting.delete(entry));
        due.forEach(entry => entry.resolve());
    }
}
