/** Reservation of workers for a gang that has waited long. */
import type { JobId } from "../ids/index.js";
import { fitsInto, type Resources, subtractResources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { TaskEntry } from "./types.js";
import type { WorkerEntry, WorkerTable } from "./worker-table.js";

interface Reservation {
    readonly job: JobId;
    readonly workers: ReadonlySet<WorkerEntry>;
    /** When the reservation was made, on the monotonic clock. */
    readonly since: Milliseconds;
    /** When the last task on the reserved workers is expected to end. */
    readonly expectedStart: Milliseconds;
}

/** A gang that has not started within this time loses its reservation to the next one. */
const maxReservationDuration: Milliseconds = 600_000;

/**
 * Reserves workers for one gang at a time, so that two gangs never each hold half of what the other needs.
 *
 * Other tasks may still be placed on a reserved worker if they are expected to end before the gang can start (backfill).
 */
export class GangReservation {
    #reservation: Reservation | undefined;

    constructor(
        private readonly workers: WorkerTable,
        private readonly expectedEndOf: (task: TaskEntry) => Milliseconds,
    ) {}

    /** Drops a reservation that is too old. */
    expire(now: Milliseconds): void {
        if (this.#reservation !== undefined && now - this.#reservation.since > maxReservationDuration) {
            this.#reservation = undefined;
        }
    }

    /** Reserves enough workers for a gang, least loaded first. Does nothing while a reservation is held. */
    reserve(job: JobId, size: Resources, count: number, now: Milliseconds): void {
        if (this.#reservation !== undefined) {
            return;
        }
        const chosen = new Set<WorkerEntry>();
        let taskCapacity = 0;
        const byLoad = [...this.workers.values()]
            .filter(entry => this.workers.index.isSchedulable(entry.slot))
            .sort((left, right) => left.tasks.size - right.tasks.size);
        for (const entry of byLoad) {
            if (taskCapacity >= count) {
                break;
            }
            const fitting = countFitting(size, entry.listed.capacity, count - taskCapacity);
            if (fitting > 0) {
                chosen.add(entry);
                taskCapacity += fitting;
            }
        }
        if (taskCapacity >= count) {
            const ends = [...chosen].flatMap(entry => [...entry.tasks.values()]).map(this.expectedEndOf);
            this.#reservation = { job, workers: chosen, since: now, expectedStart: Math.max(now, ...ends) };
        }
    }

    /** Drops the reservation if this job holds it. */
    release(job: JobId): void {
        if (this.#reservation?.job === job) {
            this.#reservation = undefined;
        }
    }

    /** Whether a worker is reserved for another job and a task with this expected end would delay that job. */
    isReservedForAnother(entry: WorkerEntry, job: JobId, expectedEnd: Milliseconds): boolean {
        const reservation = this.#reservation;
        if (reservation === undefined || reservation.job === job || !reservation.workers.has(entry)) {
            return false;
        }
        const endsInTime = reservation.expectedStart < Infinity && expectedEnd <= reservation.expectedStart;
        return !endsInTime;
    }
}

const countFitting = (size: Resources, capacity: Resources, limit: number): number => {
    let available = capacity;
    let count = 0;
    while (count < limit && fitsInto(size, available)) {
        available = subtractResources(available, size);
        count++;
    }
    return count;
};
