/** Leases of a worker's runs. */
import type { WorkerTime } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { maxClockDrift } from "./constants.js";

/** A reading of the worker's clock. */
export interface ClockReading {
    readonly clock: WorkerTime;
    /** Times on the local monotonic clock at which the call was sent and answered. */
    readonly sentAt: Milliseconds;
    readonly receivedAt: Milliseconds;
}

/**
 * Computes the leases of all runs at one incarnation of a worker, in time of its own clock, which may be slower than
 * the local one.
 */
export class WorkerLease {
    #reading: ClockReading | undefined;
    /** The latest granted end of a lease, on the worker's clock. */
    #latestEnd: WorkerTime = 0;

    /** Length of leases granted from now on. */
    #length: Milliseconds;

    /** `maxLength`: maximum length of a lease. */
    constructor(private readonly clock: Clock, private readonly maxLength: Milliseconds) {
        this.#length = maxLength;
    }

    /** Limits the length of leases granted from now on; those in force are not shortened. */
    limitLength(limit: Milliseconds): void {
        this.#length = Math.min(this.#length, limit);
    }

    /** Whether the worker's clock has been read. */
    get hasReading(): boolean {
        return this.#reading !== undefined;
    }

    /** Adds a reading of the worker's clock; the one whose call was sent last is used. */
    addReading(reading: ClockReading): void {
        if (this.#reading === undefined) {
            // An earlier link may have granted a full lease, also by an order for an earlier incarnation.
            this.#latestEnd = reading.clock + this.maxLength;
        }
        if (this.#reading === undefined || reading.sentAt >= this.#reading.sentAt) {
            this.#reading = reading;
        }
    }

    /** Whether a reading is of another incarnation: the clock of one incarnation never goes back. */
    isOtherIncarnation({ clock, sentAt }: ClockReading): boolean {
        return this.#reading !== undefined && sentAt >= this.#reading.receivedAt && clock < this.#reading.clock;
    }

    /** Grants a lease and returns its end on the worker's clock; undefined before the clock has been read. */
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

    /** Time until all leases granted by now have expired, also those of former links. */
    expiresIn(): Milliseconds {
        const reading = this.#reading;
        if (reading === undefined) {
            return this.maxLength / (1 - maxClockDrift);
        }
        const left = (this.#latestEnd - reading.clock) / (1 - maxClockDrift);
        return Math.max(0, reading.receivedAt + left - this.clock.monotonic());
    }
}
