/** Services of a shard by name. */
import type { TaskId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";
import { gatewayRegistrationPeriod } from "./constants.js";
import { type ServiceInstance, type SlotGrant, SlotLedger, type SlotRequest } from "./slot-ledger.js";
import { type JobEntry, type TaskEntry, TaskPhase } from "./types.js";
import { isLeaving, type WorkerEntry, type WorkerTable } from "./worker-table.js";

/** Dependencies of {@link ServiceDirectory}. */
export interface ServiceDirectoryOptions {
    readonly workers: WorkerTable;
    /** Whether slot grants of a former owner may still be in use. */
    readonly hasFormerOwner: boolean;
    readonly now: () => Milliseconds;
    /** Returns how long granted slots may be used. */
    readonly slotGrant: () => Milliseconds;
}

/** Tracks the instances of each service and the slots of these that gateways hold. */
export class ServiceDirectory {
    readonly #jobs = new Map<string, Set<JobEntry>>();
    readonly #ledgers = new Map<string, SlotLedger>();

    constructor(private readonly options: ServiceDirectoryOptions) {}

    /** Adds a job; does nothing unless it belongs to a service. */
    add(job: JobEntry): void {
        const { service } = job.submission;
        if (service !== undefined) {
            const jobs = this.#jobs.get(service) ?? new Set<JobEntry>();
            jobs.add(job);
            this.#jobs.set(service, jobs);
        }
    }

    remove(job: JobEntry): void {
        const service = job.submission.service ?? "";
        const jobs = this.#jobs.get(service);
        jobs?.delete(job);
        if (jobs?.size === 0) {
            this.#jobs.delete(service);
        }
    }

    has(service: string): boolean {
        return this.#jobs.has(service);
    }

    acquire(service: string, request: SlotRequest): SlotGrant[] {
        const { now, slotGrant } = this.options;
        return this.#ledgerOf(service).acquire(request, this.#instancesOf(service), now(), slotGrant());
    }

    /** Whether any gateway may still send requests to an instance. */
    hasGrants(service: string, task: TaskId): boolean {
        return this.#ledgerOf(service).grantedSlots(task, this.options.now()) > 0;
    }

    #ledgerOf(service: string): SlotLedger {
        let ledger = this.#ledgers.get(service);
        if (ledger === undefined) {
            const { hasFormerOwner, now, slotGrant } = this.options;
            // Counted from the first request, as gateways may only now have discovered the new owner.
            const reconciledAt = hasFormerOwner ? now() + Math.min(gatewayRegistrationPeriod, slotGrant()) : -Infinity;
            ledger = new SlotLedger(reconciledAt);
            this.#ledgers.set(service, ledger);
        }
        return ledger;
    }

    #instancesOf(service: string): ServiceInstance[] {
        return [...this.#jobs.get(service) ?? []].flatMap(job =>
            job.tasks.flatMap(task => this.#instanceOf(job, task))
        );
    }

    #instanceOf(job: JobEntry, task: TaskEntry): ServiceInstance[] {
        const entry = task.assignment === undefined ? undefined : this.options.workers.get(task.assignment.worker);
        if (entry === undefined || !this.#mayServe(task, entry)) {
            return [];
        }
        return [{
            task: task.task,
            worker: entry.worker,
            address: task.serviceAddress,
            dataHall: entry.listed.dataHall,
            slots: job.submission.size.slots,
        }];
    }

    /** Whether live requests may be sent to a task: it is running, or its worker has not reported to a new owner yet. */
    #mayServe(task: TaskEntry, entry: WorkerEntry): boolean {
        if (task.stopSent === true || isLeaving(entry)) {
            return false;
        }
        const isUnheard = entry.incarnation === undefined && this.options.hasFormerOwner;
        const isRunning = task.phase === TaskPhase.Running && task.serviceAddress !== undefined;
        return isUnheard || (isRunning && this.options.workers.index.isSchedulable(entry.slot));
    }
}
