/** Time that jumps from event to event. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import TinyQueue from "tinyqueue";

interface ScheduledEvent {
    readonly at: Milliseconds;
    readonly sequence: number;
    readonly run: () => void;
}

/** See the module's comment. */
export class VirtualClock implements Clock {
    readonly #events = new TinyQueue<ScheduledEvent>(
        [],
        (left, right) => left.at - right.at || left.sequence - right.sequence,
    );
    readonly #startTime = Date.parse("2026-01-01T00:00:00Z");
    #now = 0;
    #nextSequence = 0;

    /** See {@link Clock.monotonic}. */
    monotonic(): Milliseconds {
        return this.#now;
    }

    /** See {@link Clock.now}. */
    now(): Date {
        return new Date(this.#startTime + this.#now);
    }

    /** See {@link Clock.sleep}. */
    sleep(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => this.after(duration, resolve));
    }

    /** Runs something after a time. */
    after(duration: Milliseconds, run: () => void): void {
        this.#events.push({ at: this.#now + Math.max(0, duration), sequence: this.#nextSequence++, run });
    }

    /** Runs something again and again until `isDone`. */
    every(interval: Milliseconds, run: () => void, isDone: () => boolean): void {
        this.after(interval, () => {
            if (!isDone()) {
                run();
                this.every(interval, run, isDone);
            }
        });
    }

    /** Runs all events up to a time. */
    runUntil(end: Milliseconds): void {
        while (this.#events.length > 0 && this.#events.peek()!.at <= end) {
            const event = this.#events.pop()!;
            this.#now = event.at;
            event.run();
        }
        this.#now = Math.max(this.#now, end);
    }

    /** Like {@link runUntil}, and lets promises settle between events. */
    async runUntilSettled(end: Milliseconds): Promise<void> {
        while (this.#events.length > 0 && this.#events.peek()!.at <= end) {
            const { at } = this.#events.peek()!;
            this.runUntil(at);
            await new Promise(resolve => setImmediate(resolve));
        }
        this.#now = Math.max(this.#now, end);
    }
}
