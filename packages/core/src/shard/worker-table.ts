/** Workers of a shard. */
import type { Incarnation, TaskId, WorkerId } from "../ids/index.js";
import { FleetIndex, type WorkerSlot } from "../placement/index.js";
import { type Resources, resourcesKey } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { type ListedWorker, VmState } from "../vm-list/index.js";
import type { TaskAttempt } from "../worker/index.js";
import type { TaskEntry } from "./types.js";

/** State of one worker as its shard's owner knows it. */
export interface WorkerEntry {
    readonly worker: WorkerId;
    readonly slot: WorkerSlot;
    listed: ListedWorker;
    /** Set once the worker has accepted this owner's epoch. */
    incarnation?: Incarnation;
    reportNumber: number;
    /** When the worker last answered, on the monotonic clock. */
    lastAnswerAt: Milliseconds;
    /** From then on no lease that any owner granted here can be valid. */
    leasesExpireAt: Milliseconds;
    reportedLeaving: boolean;
    /** Since when the platform's list lacks the worker, on the monotonic clock. */
    unlistedSince?: Milliseconds;
    /** Tasks whose resources are reserved on this worker. */
    readonly tasks: Map<TaskId, TaskEntry>;
    /** Ended attempts that are committed and not yet acknowledged to the worker. */
    pendingAcknowledgements: TaskAttempt[];
    /** Number of running attempts that this owner did not place. The worker is unschedulable until they are gone. */
    unknownAttempts: number;
    quarantinedUntil: Milliseconds;
}

/** Workers of equal capacity. */
export interface CapacityShape {
    readonly capacity: Resources;
    /** Any worker of this capacity, for messages. */
    readonly example: WorkerId;
    readonly count: number;
}

/** Workers by id, with an index of their free capacity. */
export class WorkerTable {
    readonly index = new FleetIndex();
    readonly #entries = new Map<WorkerId, WorkerEntry>();
    readonly #bySlot: WorkerEntry[] = [];
    /** Cache, cleared when a worker is added or removed. */
    #shapes: readonly CapacityShape[] | undefined;

    /** All workers, including unlisted ones that may still run tasks. */
    values(): IterableIterator<WorkerEntry> {
        return this.#entries.values();
    }

    get size(): number {
        return this.#entries.size;
    }

    get(worker: WorkerId): WorkerEntry | undefined {
        return this.#entries.get(worker);
    }

    entryAt(slot: WorkerSlot): WorkerEntry {
        return this.#bySlot[slot];
    }

    /** Adds a worker, unschedulable until it has been claimed. */
    add(listed: ListedWorker, leasesExpireAt: Milliseconds): WorkerEntry {
        const slot = this.index.add(listed.capacity);
        this.index.setSchedulable(slot, false);
        const entry: WorkerEntry = {
            worker: listed.worker,
            slot,
            listed,
            reportNumber: 0,
            lastAnswerAt: -Infinity,
            leasesExpireAt,
            reportedLeaving: false,
            tasks: new Map(),
            pendingAcknowledgements: [],
            unknownAttempts: 0,
            quarantinedUntil: -Infinity,
        };
        this.#entries.set(listed.worker, entry);
        this.#shapes = undefined;
        this.#bySlot[slot] = entry;
        return entry;
    }

    /** Removes a worker. Its slot in the index stays unschedulable. */
    remove(entry: WorkerEntry): void {
        this.index.setSchedulable(entry.slot, false);
        this.#entries.delete(entry.worker);
        this.#shapes = undefined;
    }

    /** Reserves a task's resources on its worker. */
    charge(entry: WorkerEntry, task: TaskEntry, grant: Resources): void {
        entry.tasks.set(task.task, task);
        this.index.reserve(entry.slot, grant);
    }

    /** Releases a task's resources. Does nothing when the task is not charged to the worker. */
    release(entry: WorkerEntry, task: TaskEntry, grant: Resources): void {
        if (entry.tasks.delete(task.task)) {
            this.index.release(entry.slot, grant);
        }
    }

    /** Recomputes whether a worker accepts placements. */
    updateSchedulable(entry: WorkerEntry, now: Milliseconds, silentAfter: Milliseconds): void {
        const schedulable = entry.incarnation !== undefined
            && entry.unknownAttempts === 0
            && !isLeaving(entry)
            && entry.unlistedSince === undefined
            && now - entry.lastAnswerAt <= silentAfter
            && entry.quarantinedUntil <= now;
        this.index.setSchedulable(entry.slot, schedulable);
    }

    /** Workers grouped by capacity, so that admission does not have to visit each worker. */
    shapes(): readonly CapacityShape[] {
        this.#shapes ??= this.#countShapes();
        return this.#shapes;
    }

    #countShapes(): CapacityShape[] {
        const shapes = new Map<string, CapacityShape>();
        for (const { worker, listed: { capacity } } of this.#entries.values()) {
            const key = resourcesKey(capacity);
            const known = shapes.get(key);
            shapes.set(key, { capacity, example: known?.example ?? worker, count: (known?.count ?? 0) + 1 });
        }
        return [...shapes.values()];
    }
}

/** Whether the platform's list or the worker itself reports that it is leaving. */
export const isLeaving = (entry: WorkerEntry): boolean =>
    entry.reportedLeaving || entry.listed.state === VmState.Leaving;
