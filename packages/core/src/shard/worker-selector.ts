/** Selection of workers for a pending unit. */
import type { WorkerId } from "../ids/index.js";
import { noWorker, policyOf, type WorkerSlot } from "../placement/index.js";
import type { Milliseconds } from "../time/index.js";
import type { GangReservation } from "./gang-reservation.js";
import type { PendingUnit } from "./pending-queue.js";
import type { ShardSettings } from "./settings.js";
import type { JobEntry } from "./types.js";
import type { WorkerEntry, WorkerTable } from "./worker-table.js";

/** Workers for the tasks of a unit, in the order of the tasks, with the reason. */
export interface WorkerSelection {
    readonly workers: readonly WorkerEntry[];
    readonly reason: string;
}

/** A pending unit with what its placement depends on. */
export interface SelectionRequest {
    readonly unit: PendingUnit;
    readonly job: JobEntry;
    readonly settings: ShardSettings;
    /** Workers to use only if no others are feasible. */
    readonly avoided: ReadonlySet<WorkerId>;
    readonly now: Milliseconds;
}

const noWorkers: ReadonlySet<WorkerId> = new Set();

/** Selects workers for a single task, or for all tasks of a gang at once. */
export class WorkerSelector {
    constructor(private readonly workers: WorkerTable, private readonly gangReservation: GangReservation) {}

    /** Returns workers for all tasks of a unit, or undefined when not all of them fit. Reserves nothing. */
    select(request: SelectionRequest): WorkerSelection | undefined {
        const { avoided } = request;
        return this.#selectAvoiding(request, avoided)
            ?? (avoided.size === 0 ? undefined : this.#selectAvoiding(request, noWorkers));
    }

    #selectAvoiding(
        { unit, job, settings, now }: SelectionRequest,
        avoided: ReadonlySet<WorkerId>,
    ): WorkerSelection | undefined {
        const { size } = unit;
        const policy = policyOf(job.submission.class);
        const preference = policy.preference(settings.placement);
        const headroom = policy.headroom(settings.placement);
        const expectedEnd = now + (job.submission.expectedRunMilliseconds ?? Infinity);
        const isExcluded = (slot: WorkerSlot): boolean => {
            const entry = this.workers.entryAt(slot);
            return avoided.has(entry.worker) || this.gangReservation.isReservedForAnother(entry, unit.job, expectedEnd);
        };
        const isGang = unit.tasks.length > 1;
        const chosen: WorkerEntry[] = [];
        let considered = 0;
        let feasible = 0;
        for (let index = 0; index < unit.tasks.length; index++) {
            const decision = this.workers.index.find({ size, preference, headroom, isExcluded });
            considered += decision.considered;
            feasible += decision.feasible;
            if (decision.worker === noWorker) {
                break;
            }
            chosen.push(this.workers.entryAt(decision.worker));
            if (isGang) {
                this.workers.index.reserve(decision.worker, size);
            }
        }
        // Reserved only while searching for the gang's other tasks; the resources are charged with the record.
        if (isGang) {
            chosen.forEach(entry => this.workers.index.release(entry.slot, size));
        }
        if (chosen.length < unit.tasks.length) {
            return undefined;
        }
        const waited = Math.round(Math.max(0, now - unit.since));
        const reason = `${preference}: best of ${feasible} that fit, ${considered} looked at, after ${waited} ms`;
        return { workers: chosen, reason };
    }
}
