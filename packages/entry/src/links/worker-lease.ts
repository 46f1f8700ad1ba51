/** The lease of all that runs at one life of a worker, on that life's own clock, which may run slower than ours. */
import type { WorkerTime } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { clockDrift } from "./constants.js";

/** The worker's clock as an answer showed it. */
export interface ClockReading {
    readonly clock: WorkerTime;
    /** When the call was sent, and when its answer came, by our monotonic clock. */
    readonly sentAt: Milliseconds;
    readonly receivedAt: Milliseconds;
}

/** See the module's comment. */
export class WorkerLease {
    #reading: ClockReading | undefined;
    /** The latest moment until which anything was allowed to run, on the worker's clock. */
    #until: WorkerTime = 0;

    /** How long leases given from now on run. */
    #length: Milliseconds;

    /** `longest`: how long a lease runs at most. */
    constructor(private readonly clock: Clock, private readonly longest: Milliseconds) {
        this.#length = longest;
    }

    /** Gives no longer leases than this from now on; those that run are not cut. */
    shorten(longest: Milliseconds): void {
        this.#length = Math.min(this.#length, longest);
    }

    /** Whether the worker's clock was read. */
    get hasClock(): boolean {
        return this.#reading !== undefined;
    }

    /** Takes a reading in; one of an older call undoes no newer one. */
    readClock(reading: ClockReading): void {
        if (this.#reading === undefined) {
            // An earlier link may have given as much, and the worker may have carried an order out that was meant for its former life.
            this.#until = reading.clock + this.longest;
        }
        if (this.#reading === undefined || reading.sentAt >= this.#reading.sentAt) {
            this.#reading = reading;
        }
    }

    /** Whether a reading is of another life: within one the clock is steady, and never behind what it showed before. */
    isOfOtherLife({ clock, sentAt }: ClockReading): boolean {
        return this.#reading !== undefined && sentAt >= this.#reading.receivedAt && clock < this.#reading.clock;
    }

    /** The end of a lease given now, on the worker's clock; undefined before that clock was read. */
    next(): WorkerTime | undefined {
        const reading = this.#reading;
        if (reading === undefined) {
            return undefined;
        }
        const elapsed = this.clock.monotonic() - reading.receivedAt;
        const until = Math.floor(reading.clock + elapsed * (1 - clockDrift) + this.#length);
        this.#until = Math.max(this.#until, until);
        return until;
    }

    /** Time until everything that was allowed to run is over. */
    lapsesIn(): Milliseconds {
        const reading = this.#reading;
        if (reading === undefined) {
            return this.longest;
        }
        const left = (this.#until - reading.clock) / (1 - clockDrift);
        return Math.max(0, reading.receivedAt + left - this.clock.monotonic());
    }
}
