/**
 * Saves room for one gang that has waited long.
 *
 * Only one gang saves at a time, the first that asks, so two gangs never hold halves of what the other wants. Others
 * may still be placed on a saved worker if they are expected to end before the gang can start there.
 */
import type { JobId } from "../ids/index.js";
import { fitsInto, type Resources, subtractResources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { TaskEntry } from "./types.js";
import type { WorkerEntry, WorkerTable } from "./worker-table.js";

interface Reservation {
    readonly job: JobId;
    readonly workers: ReadonlySet<WorkerEntry>;
    /** When it began, by the monotonic clock. */
    readonly since: Milliseconds;
    /** When the last task that runs on the saved workers is expected to end. */
    readonly expectedStart: Milliseconds;
}

/** A gang that has not started by then gives its place to the next. */
const maxReservationDuration: Milliseconds = 600_000;

/** Keeps workers free for one gang. */
export class GangReservation {
    #reservation: Reservation | undefined;

    constructor(
        private readonly workers: WorkerTable,
        private readonly expectedEndOf: (task: TaskEntry) => Milliseconds,
    ) {}

    /** Ends a saving that took too long. */
    expire(now: Milliseconds): void {
        if (this.#reservation !== undefined && now - this.#reservation.since > maxReservationDuration) {
            this.#reservation = undefined;
        }
    }

    /** Begins to save workers for a gang, unless another one saves. */
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

    /** Ends the saving of a job. */
    release(job: JobId): void {
        if (this.#reservation?.job === job) {
            this.#reservation = undefined;
        }
    }

    /** Whether a worker is kept for another job than this one. */
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
    let room = capacity;
    let count = 0;
    while (count < limit && fitsInto(size, room)) {
        room = subtractResources(room, size);
        count++;
    }
    return count;
};
