/** Time as the product sees it: an interface that is passed in, never the process's own clock. */

/** A length of time in milliseconds. */
export type Milliseconds = number;

/** Source of time and of waiting. */
export interface Clock {
    /** Milliseconds since an arbitrary start; never goes back. For lengths of time. */
    monotonic(): Milliseconds;
    /** Wall-clock time, for deadlines that callers give and for logs. */
    now(): Date;
    /** Resolves after `duration`, or at once when `signal` aborts. Never rejects. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** The clock of the process. The only place that reads it. */
export class SystemClock implements Clock {
    /** See {@link Clock.monotonic}. */
    monotonic(): Milliseconds {
        return performance.now();
    }

    /** See {@link Clock.now}. */
    now(): Date {
        return new Date();
    }

    /** See {@link Clock.sleep}. */
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
export class ManualClock implements Clock {
    #elapsed = 0;
    #waiting: { at: Milliseconds; resolve: () => void; }[] = [];

    constructor(private readonly start: Date = new Date("2026-01-01T00:00:00Z")) {}

    /** See {@link Clock.monotonic}. */
    monotonic(): Milliseconds {
        return this.#elapsed;
    }

    /** See {@link Clock.now}. */
    now(): Date {
        return new Date(this.start.getTime() + this.#elapsed);
    }

    /** See {@link Clock.sleep}. */
    sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            this.#waiting.push({ at: this.#elapsed + duration, resolve });
            signal?.addEventListener("abort", () => resolve(), { once: true });
        });
    }

    /** Moves time on by `duration` and wakes all who waited for it. */
    advance(duration: Milliseconds): void {
        this.#elapsed += duration;
        const due = this.#waiting.filter(entry => entry.at <= this.#elapsed);
        this.#waiting = this.#waiting.filter(entry => entry.at > this.#elapsed);
        due.forEach(entry => entry.resolve());
    }
}
