/** Clock and event queue of a simulation. */
import type { Clock, Milliseconds } from "@pebbledale/core";
import TinyQueue from "tinyqueue";

interface ScheduledEvent {
    readonly at: Milliseconds;
    readonly sequence: number;
    readonly run: () => void;
}

/** A clock that advances from event to event. Events of the same time run in the order in which they were added. */
export class VirtualClock implements Clock {
    readonly #events = new TinyQueue<ScheduledEvent>(
        [],
        (left, right) => left.at - right.at || left.sequence - right.sequence,
    );
    readonly #startTime = Date.parse("2026-01-01T00:00:00Z");
    #now = 0;
    #nextSequence = 0;

    monotonic(): Milliseconds {
        return this.#now;
    }

    now(): Date {
        return new Date(this.#startTime + this.#now);
    }

    sleep(duration: Milliseconds): Promise<void> {
        return new Promise(resolve => this.after(duration, resolve));
    }

    /** Adds an event after a duration; a negative one counts as 0. */
    after(duration: Milliseconds, run: () => void): void {
        this.#events.push({ at: this.#now + Math.max(0, duration), sequence: this.#nextSequence++, run });
    }

    /** Adds a recurring event, first after one interval, until `isDone` returns true. */
    every(interval: Milliseconds, run: () => void, isDone: () => boolean): void {
        this.after(interval, () => {
            if (!isDone()) {
                run();
                this.every(interval, run, isDone);
            }
        });
    }

    /** Runs all events up to a time and advances the clock to it. */
    runUntil(end: Milliseconds): void {
        while (this.#events.length > 0 && this.#events.peek()!.at <= end) {
            const event = this.#events.pop()!;
            this.#now = event.at;
            event.run();
        }
        this.#now = Math.max(this.#now, end);
    }

    /** Like {@link runUntil}, but lets promises settle after the events of each time. */
    async runUntilSettled(end: Milliseconds): Promise<void> {
        while (this.#events.length > 0 && this.#events.peek()!.at <= end) {
            const { at } = this.#events.peek()!;
            this.runUntil(at);
            await new Promise(resolve => setImmediate(resolve));
        }
        this.#now = Math.max(this.#now, end);
    }
}
