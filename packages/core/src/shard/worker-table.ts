/** What the owner of a shard knows of each worker. */
import type { Incarnation, TaskId, WorkerId } from "../ids/index.js";
import { FleetIndex, type WorkerSlot } from "../placement/index.js";
import { type Resources, resourcesKey } from "../resources/index.js";
import type { Milliseconds } from "../time/index.js";
import { type ListedWorker, VmState } from "../vm-list/index.js";
import type { TaskAttempt } from "../worker/index.js";
import type { TaskEntry } from "./types.js";

/** One worker of the shard. */
export interface WorkerEntry {
    readonly worker: WorkerId;
    readonly slot: WorkerSlot;
    listed: ListedWorker;
    /** Set once the worker has accepted this owner's epoch. */
    incarnation?: Incarnation;
    reportNumber: number;
    /** When the last answer came, by the monotonic clock. */
    lastAnswerAt: Milliseconds;
    /** From then on no lease that any owner gave here can still run. */
    leasesExpireAt: Milliseconds;
    reportedLeaving: boolean;
    /** Since when the platform's list lacks it, by the monotonic clock. */
    unlistedSince?: Milliseconds;
    /** Tasks charged to this worker. */
    readonly tasks: Map<TaskId, TaskEntry>;
    /** Ends that are kept and not yet acknowledged to the worker. */
    pendingAcknowledgements: TaskAttempt[];
    /** Attempts running there that this owner did not place; nothing is placed until they are gone. */
    unknownAttempts: number;
    quarantinedUntil: Milliseconds;
}

/** Workers of equal capacity. */
export interface CapacityShape {
    readonly capacity: Resources;
    /** One of them. */
    readonly example: WorkerId;
    readonly count: number;
}

/** Workers by id, with their room. */
export class WorkerTable {
    readonly index = new FleetIndex();
    readonly #entries = new Map<WorkerId, WorkerEntry>();
    readonly #bySlot: WorkerEntry[] = [];
    /** Undefined after a worker was added or removed. */
    #shapes: readonly CapacityShape[] | undefined;

    /** All workers that are listed or still have tasks charged. */
    values(): IterableIterator<WorkerEntry> {
        return this.#entries.values();
    }

    /** Number of workers. */
    get size(): number {
        return this.#entries.size;
    }

    /** The entry of a worker. */
    get(worker: WorkerId): WorkerEntry | undefined {
        return this.#entries.get(worker);
    }

    /** The entry at a place of the index. */
    entryAt(slot: WorkerSlot): WorkerEntry {
        return this.#bySlot[slot];
    }

    /** Adds a listed worker, closed until it has been claimed. */
    add(listed: ListedWorker, leasesExpireAt: Milliseconds): WorkerEntry {
        const slot = this.index.add(listed.capacity);
        this.index.setSchedulable(slot, false);
        const entry: WorkerEntry = {
            worker: listed.worker,
            slot,
            listed,
            reportNumber: 0,
            lastAnswerAt: -Infinity,
            leasesExpireAt: leasesExpireAt,
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

    /** Forgets a worker that is gone; its place in the index stays closed. */
    remove(entry: WorkerEntry): void {
        this.index.setSchedulable(entry.slot, false);
        this.#entries.delete(entry.worker);
        this.#shapes = undefined;
    }

    /** Charges a task to its worker. */
    charge(entry: WorkerEntry, task: TaskEntry, grant: Resources): void {
        entry.tasks.set(task.task, task);
        this.index.reserve(entry.slot, grant);
    }

    /** Gives the room of a task back. */
    release(entry: WorkerEntry, task: TaskEntry, grant: Resources): void {
        if (entry.tasks.delete(task.task)) {
            this.index.release(entry.slot, grant);
        }
    }

    /** Opens or closes a worker for placements by all that is known of it. */
    updateSchedulable(entry: WorkerEntry, now: Milliseconds, silentAfter: Milliseconds): void {
        const schedulable = entry.incarnation !== undefined
            && entry.unknownAttempts === 0
            && !isLeaving(entry)
            && entry.unlistedSince === undefined
            && now - entry.lastAnswerAt <= silentAfter
            && entry.quarantinedUntil <= now;
        this.index.setSchedulable(entry.slot, schedulable);
    }

    /** Workers by capacity: what can never fit is found without a look at each worker. */
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

/** Whether the list or the worker itself says that it is leaving. */
export const isLeaving = (entry: WorkerEntry): boolean =>
    entry.reportedLeaving || entry.listed.state === VmState.Leaving;
