/** The lease of all that runs at one life of a worker, on that life's own clock, which may run slower than ours. */
import type { WorkerTime } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { maxClockDrift } from "./constants.js";

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
    #latestEnd: WorkerTime = 0;

    /** How long leases given from now on run. */
    #length: Milliseconds;

    /** `longest`: how long a lease runs at most. */
    constructor(private readonly clock: Clock, private readonly maxLength: Milliseconds) {
        this.#length = maxLength;
    }

    /** Gives no longer leases than this from now on; those that run are not cut. */
    limitLength(limit: Milliseconds): void {
        this.#length = Math.min(this.#length, limit);
    }

    /** Whether the worker's clock was read. */
    get hasReading(): boolean {
        return this.#reading !== undefined;
    }

    /** Takes a reading in; one of an older call undoes no newer one. */
    noteReading(reading: ClockReading): void {
        if (this.#reading === undefined) {
            // An earlier link may have given as much, and the worker may have carried an order out that was meant for its former life.
            this.#latestEnd = reading.clock + this.maxLength;
        }
        if (this.#reading === undefined || reading.sentAt >= this.#reading.sentAt) {
            this.#reading = reading;
        }
    }

    /** Whether a reading is of another life: within one the clock is steady, and never behind what it showed before. */
    isOtherIncarnation({ clock, sentAt }: ClockReading): boolean {
        return this.#reading !== undefined && sentAt >= this.#reading.receivedAt && clock < this.#reading.clock;
    }

    /** The end of a lease given now, on the worker's clock; undefined before that clock was read. */
    grant(): WorkerTime | undefined {
        const reading = this.#reading;
        if (reading === undefined) {
            return undefined;
        }
        const elapsed = this.clock.monotonic() - reading.receivedAt;
        const until = Math.floor(reading.clock + elapsed * (1 - maxClockDrift) + this.#length);
        this.#latestEnd = Math.max(this.#latestEnd, until);
        return until;
    }

    /** Time until everything that was allowed to run is over. */
    expiresIn(): Milliseconds {
        const reading = this.#reading;
        if (reading === undefined) {
            return this.maxLength;
        }
        const left = (this.#latestEnd - reading.clock) / (1 - maxClockDrift);
        return Math.max(0, reading.receivedAt + left - this.clock.monotonic());
    }
}
