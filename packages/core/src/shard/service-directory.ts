/** Services by name: their instances, and the slots of these that gateways hold. */
import type { TaskId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";
import { gatewayRegistrationPeriod } from "./constants.js";
import { type ServiceInstance, type SlotGrant, SlotLedger, type SlotRequest } from "./slot-ledger.js";
import { type JobEntry, type TaskEntry, TaskPhase } from "./types.js";
import { isLeaving, type WorkerEntry, type WorkerTable } from "./worker-table.js";

/** What a directory needs. */
export interface ServiceDirectoryOptions {
    readonly workers: WorkerTable;
    /** Whether a former owner's grants may still be in use. */
    readonly hasFormerOwner: boolean;
    readonly now: () => Milliseconds;
    /** How long a bundle of slots may be used. */
    readonly slotGrant: () => Milliseconds;
}

/** See the module's comment. */
export class ServiceDirectory {
    readonly #jobs = new Map<string, Set<JobEntry>>();
    readonly #ledgers = new Map<string, SlotLedger>();

    constructor(private readonly options: ServiceDirectoryOptions) {}

    /** Adds a job if it is a service. */
    add(job: JobEntry): void {
        const { service } = job.submission;
        if (service !== undefined) {
            const jobs = this.#jobs.get(service) ?? new Set<JobEntry>();
            jobs.add(job);
            this.#jobs.set(service, jobs);
        }
    }

    /** Removes a job that has ended. */
    remove(job: JobEntry): void {
        this.#jobs.get(job.submission.service ?? "")?.delete(job);
    }

    /** Whether a service is known. */
    has(service: string): boolean {
        return this.#jobs.has(service);
    }

    /** Grants slots of a service's instances to a gateway. */
    acquire(service: string, request: SlotRequest): SlotGrant[] {
        const { now, slotGrant } = this.options;
        return this.#ledgerOf(service).acquire(request, this.#instancesOf(service), now(), slotGrant());
    }

    /** Whether gateways may still send to an instance. */
    hasGrants(service: string, task: TaskId): boolean {
        return this.#ledgerOf(service).grantedSlots(task, this.options.now()) > 0;
    }

    #ledgerOf(service: string): SlotLedger {
        let ledger = this.#ledgers.get(service);
        if (ledger === undefined) {
            const { hasFormerOwner, now, slotGrant } = this.options;
            // Counted from the first request: gateways may have found the new owner only now.
            const settledAt = hasFormerOwner ? now() + Math.min(gatewayRegistrationPeriod, slotGrant()) : -Infinity;
            ledger = new SlotLedger(settledAt);
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

    /** Whether live requests may go to a task: it runs, or a new owner has not heard from its worker yet. */
    #mayServe(task: TaskEntry, entry: WorkerEntry): boolean {
        if (task.stopSent === true || isLeaving(entry)) {
            return false;
        }
        const isUnheard = entry.incarnation === undefined && this.options.hasFormerOwner;
        const isRunning = task.phase === TaskPhase.Running && task.serviceAddress !== undefined;
        return isUnheard || (isRunning && this.options.workers.index.isSchedulable(entry.slot));
    }
}
