/** Reservation of workers for a gang that has waited long. */
import type { JobId } from "../ids/index.js";
import { fitsInto, type Resources, subtractResources } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import type { TaskEntry } from "./types.js";
import type { WorkerEntry, WorkerTable } from "./worker-table.js";

interface Saving {
    readonly job: JobId;
    readonly workers: ReadonlySet<WorkerEntry>;
    /** When the reservation was made, on the monotonic clock. */
    readonly since: Milliseconds;
    /** When the last task on the reserved workers is expected to end. */
    readonly expectedStart: Milliseconds;
}

/** A gang that has not started within this time loses its reservation to the next one. */
const longestSaving: Milliseconds = 600_000;

/**
 * Reserves workers for one gang at a time, so that two gangs never each hold half of what the other needs.
 *
 * Other tasks may still be placed on a reserved worker if they are expected to end before the gang can start (backfill).
 */
export class RoomSaver {
    #saving: Saving | undefined;

    constructor(
        private readonly workers: WorkerTable,
        private readonly expectedEndOf: (task: TaskEntry) => Milliseconds,
    ) {}

    /** Drops a reservation that is too old. */
    refresh(now: Milliseconds): void {
        if (this.#saving !== undefined && now - this.#saving.since > longestSaving) {
            this.#saving = undefined;
        }
    }

    /** Reserves enough workers for a gang, least loaded first. Does nothing while a reservation is held. */
    save(job: JobId, size: Resources, count: number, now: Milliseconds): void {
        if (this.#saving !== undefined) {
            return;
        }
        const chosen = new Set<WorkerEntry>();
        let places = 0;
        const byLoad = [...this.workers.values()]
            .filter(entry => this.workers.index.isOpen(entry.slot))
            .sort((left, right) => left.tasks.size - right.tasks.size);
        for (const entry of byLoad) {
            if (places >= count) {
                break;
            }
            const fitting = countFitting(size, entry.listed.capacity, count - places);
            if (fitting > 0) {
                chosen.add(entry);
                places += fitting;
            }
        }
        if (places >= count) {
            const ends = [...chosen].flatMap(entry => [...entry.tasks.values()]).map(this.expectedEndOf);
            this.#saving = { job, workers: chosen, since: now, expectedStart: Math.max(now, ...ends) };
        }
    }

    /** Drops the reservation if this job holds it. */
    done(job: JobId): void {
        if (this.#saving?.job === job) {
            this.#saving = undefined;
        }
    }

    /** Whether a worker is reserved for another job and a task with this expected end would delay that job. */
    isSavedForAnother(entry: WorkerEntry, job: JobId, expectedEnd: Milliseconds): boolean {
        const saving = this.#saving;
        if (saving === undefined || saving.job === job || !saving.workers.has(entry)) {
            return false;
        }
        const endsInTime = saving.expectedStart < Infinity && expectedEnd <= saving.expectedStart;
        return !endsInTime;
    }
}

const countFitting = (size: Resources, capacity: Resources, most: number): number => {
    let room = capacity;
    let count = 0;
    while (count < most && fitsInto(size, room)) {
        room = subtractResources(room, size);
        count++;
    }
    return count;
};
