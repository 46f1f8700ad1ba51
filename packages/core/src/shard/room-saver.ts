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

interface Saving {
    readonly job: JobId;
    readonly workers: ReadonlySet<WorkerEntry>;
    /** When it began, by the monotonic clock. */
    readonly since: Milliseconds;
    /** When the last task that runs on the saved workers is expected to end. */
    readonly expectedStart: Milliseconds;
}

/** A gang that has not started by then gives its place to the next. */
const longestSaving: Milliseconds = 600_000;

/** Keeps workers free for one gang. */
export class RoomSaver {
    #saving: Saving | undefined;

    constructor(
        private readonly workers: WorkerTable,
        private readonly expectedEndOf: (task: TaskEntry) => Milliseconds,
    ) {}

    /** Ends a saving that took too long. */
    refresh(now: Milliseconds): void {
        if (this.#saving !== undefined && now - this.#saving.since > longestSaving) {
            this.#saving = undefined;
        }
    }

    /** Begins to save workers for a gang, unless another one saves. */
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

    /** Ends the saving of a job. */
    done(job: JobId): void {
        if (this.#saving?.job === job) {
            this.#saving = undefined;
        }
    }

    /** Whether a worker is kept for another job than this one. */
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
