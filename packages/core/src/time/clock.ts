/** Clock interfaces. Code takes a clock as a dependency instead of reading the process's clock. */
import type { Milliseconds } from "./milliseconds.js";
import { SuspensionDetector } from "./suspension-detector.js";

/** Source of time and timers. */
export interface Clock {
    /** Milliseconds since an arbitrary start, for measuring durations. Never decreases. */
    monotonic(): Milliseconds;
    /** Wall-clock time, for callers' deadlines and for logs. */
    now(): Date;
    /** Resolves after `duration`, or as soon as `signal` aborts. Never rejects. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** A clock that detects possible suspensions of the machine. */
export interface SuspensionAwareClock extends Clock {
    /**
     * Returns the monotonic time since which no suspension was detected, or -Infinity when there was none. Anything confirmed
     * before that time may be older than it seems. Cheap enough to call at each use.
     */
    uninterruptedSince(): Milliseconds;
}

/** Longest delay of a timer, 24.8 days: longer ones would fire after 1 ms. Durations may come from outside. */
const maxTimerDelay: Milliseconds = 2 ** 31 - 1;

/** The clock of the process. No other code reads the process's time. */
export class SystemClock implements SuspensionAwareClock {
    readonly #suspensions = new SuspensionDetector();

    uninterruptedSince(): Milliseconds {
        return this.#suspensions.check(this.monotonic(), this.now().getTime());
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
            const timer = setTimeout(finish, Math.min(Math.max(0, duration), maxTimerDelay));
            signal?.addEventListener("abort", finish, { once: true });
        });
    }
}

/** A clock for tests that only moves when it is advanced. */
export class ManualClock implements SuspensionAwareClock {
    readonly #suspensions = new SuspensionDetector();
    #elapsed = 0;
    /** Time by which the wall clock has moved ahead of the monotonic clock. */
    #wallClockOffset = 0;
    readonly #sleepers = new Set<{ readonly at: Milliseconds; readonly resolve: () => void; }>();

    constructor(private readonly start: Date = new Date("2026-01-01T00:00:00Z")) {}

    monotonic(): Milliseconds {
        return this.#elapsed;
    }

    now(): Date {
        return new Date(this.start.getTime() + this.#elapsed + this.#wallClockOffset);
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
                this.#sleepers.delete(entry);
                finish();
            };
            this.#sleepers.add(entry);
            signal?.addEventListener("abort", abort, { once: true });
        });
    }

    uninterruptedSince(): Milliseconds {
        return this.#suspensions.check(this.monotonic(), this.now().getTime());
    }

    /** Moves only the wall clock, as a suspension of the machine or a change of its system time does. */
    suspend(duration: Milliseconds): void {
        this.uninterruptedSince();
        this.#wallClockOffset += duration;
    }

    /** Advances the clock and resolves all sleeps that are due. */
    advance(duration: Milliseconds): void {
        this.#elapsed += duration;
        const due = [...this.#sleepers].filter(entry => entry.at <= this.#elapsed);
        due.forEach(entry => this.#sleepers.delete(entry));
        due.forEach(entry => entry.resolve());
    }
}
