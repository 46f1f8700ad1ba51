/** Workers' entries in the platform's store. */
import { logEvents, type WorkerId } from "@pebbledale/core";
import type { CrashMonitor } from "../crashes/index.js";
import type { ClosedHalls } from "../data-halls/index.js";
import { type CellContext, type TaskSize, WorkerState } from "../state/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import type { WorkerListener } from "./types.js";
import type { WorkerIncarnations } from "./worker-incarnations.js";

/** Applies workers' entries from the platform's store: capacity, labels, and whether a worker drains. */
export class WorkerEntryReconciler {
    constructor(
        private readonly context: CellContext,
        private readonly incarnations: WorkerIncarnations,
        private readonly crashes: CrashMonitor,
        private readonly halls: ClosedHalls,
        private readonly listener: WorkerListener,
    ) {}

    /** Applies a complete listing: workers that it does not name are no longer listed. */
    applyListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        const listed = new Set([...entries.map(entry => entry.worker), ...unreadable]);
        entries.forEach(entry => this.applyEntry(entry));
        unreadable.forEach(id => this.markUnreadable(id));
        for (const id of this.context.workers.keys()) {
            if (!listed.has(id)) {
                this.markUnlisted(id);
            }
        }
    }

    /** Applies a new or changed entry, unless it describes another incarnation than the one that answers. */
    applyEntry(entry: WorkerEntry): void {
        const { log } = this.context.options;
        const worker = this.context.workers.get(entry.worker) ?? this.#add(entry);
        worker.unlistedSince = undefined;
        if (!this.incarnations.acceptsEntry(worker, entry)) {
            return;
        }
        worker.incarnation ??= entry.life;
        if (!worker.isCommitted || worker.address !== entry.address) {
            worker.address = entry.address;
            this.incarnations.recordWorker(worker);
        }
        const former = worker.entry;
        worker.applyEntry(entry);
        this.halls.applyTo(worker);
        this.#logCapacityChange(worker, former);
        if (entry.isDraining && former?.isDraining !== true) {
            worker.leavesAt = this.context.now() + (entry.leavesIn ?? 0);
            log.log(logEvents.workerDrains, { worker: entry.worker, leavesIn: entry.leavesIn });
            this.listener.workerDraining(worker);
        }
        if (former === undefined) {
            log.log(logEvents.workerListed, {
                worker: entry.worker,
                life: entry.life,
                address: entry.address,
                hall: entry.dataHall,
                labels: entry.labels,
            });
        }
        this.listener.capacityChanged();
    }

    /** Marks an entry as unparsable: its worker gets no new runs until the entry can be parsed again, its present runs continue. */
    markUnreadable(id: WorkerId): void {
        const worker = this.context.workers.get(id);
        if (worker !== undefined) {
            worker.hasUnreadableEntry = true;
            worker.unlistedSince = undefined;
        }
    }

    /** Marks a worker as unlisted. It may still be alive, so it is polled until its leases have expired. */
    markUnlisted(id: WorkerId): void {
        const worker = this.context.workers.get(id);
        if (worker !== undefined && worker.unlistedSince === undefined) {
            worker.unlistedSince = this.context.now();
            this.context.options.log.log(logEvents.workerUnlisted, { worker: id });
        }
    }

    #add({ worker: id, address, life }: WorkerEntry): WorkerState {
        const worker = new WorkerState(id, address, life);
        this.context.workers.set(id, worker);
        this.crashes.noteNewWorker(id, address);
        return worker;
    }

    #logCapacityChange(worker: WorkerState, former: WorkerEntry | undefined): void {
        const capacity = worker.entry!.capacity;
        if (former === undefined || isSameCapacity(former.capacity, capacity)) {
            return;
        }
        this.context.options.log.log(logEvents.workerCapacityChanged, {
            worker: worker.id,
            former: former.capacity,
            room: capacity,
            runs: worker.runs.size,
            isOverfull: worker.isOvercommitted,
        });
    }
}

const isSameCapacity = (left: TaskSize, right: TaskSize): boolean =>
    left.processorThousandths === right.processorThousandths
    && left.memoryMebibytes === right.memoryMebibytes
    && left.accelerators === right.accelerators;
