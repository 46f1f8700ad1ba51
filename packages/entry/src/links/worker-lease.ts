/** Leases of a worker's runs. */
import type { WorkerTime } from "@pebbledale/cell";
import type { Clock, Milliseconds } from "@pebbledale/core";
import { clockDrift } from "./constants.js";

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
    #until: WorkerTime = 0;

    /** Length of leases granted from now on. */
    #length: Milliseconds;

    /** `longest`: maximum length of a lease. */
    constructor(private readonly clock: Clock, private readonly longest: Milliseconds) {
        this.#length = longest;
    }

    /** Limits the length of leases granted from now on; those in force are not shortened. */
    shorten(longest: Milliseconds): void {
        this.#length = Math.min(this.#length, longest);
    }

    /** Whether the worker's clock has been read. */
    get hasClock(): boolean {
        return this.#reading !== undefined;
    }

    /** Adds a reading of the worker's clock; the one whose call was sent last is used. */
    readClock(reading: ClockReading): void {
        if (this.#reading === undefined) {
            // An earlier link may have granted a full lease, also by an order for an earlier incarnation.
            this.#until = reading.clock + this.longest;
        }
        if (this.#reading === undefined || reading.sentAt >= this.#reading.sentAt) {
            this.#reading = reading;
        }
    }

    /** Whether a reading is of another incarnation: the clock of one incarnation never goes back. */
    isOfOtherLife({ clock, sentAt }: ClockReading): boolean {
        return this.#reading !== undefined && sentAt >= this.#reading.receivedAt && clock < this.#reading.clock;
    }

    /** Grants a lease and returns its end on the worker's clock; undefined before the clock has been read. */
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

    /** Time until all granted leases have expired. */
    lapsesIn(): Milliseconds {
        const reading = this.#reading;
        if (reading === undefined) {
            return this.longest;
        }
        const left = (this.#until - reading.clock) / (1 - clockDrift);
        return Math.max(0, reading.receivedAt + left - this.clock.monotonic());
    }
}
