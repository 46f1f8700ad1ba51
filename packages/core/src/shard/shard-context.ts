/** What the parts of a shard's owner share: its state, its clock and the terms of its leases. */
import { type Epoch, type JobId, jobOfTask, type ShardId } from "../ids/index.js";
import { WorkloadClass } from "../jobs/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { WorkerHealth } from "../worker-health/index.js";
import { JobRegistry } from "./job-book.js";
import { LeasePolicy } from "./lease-terms.js";
import { PendingQueue } from "./pending-queue.js";
import { GangReservation } from "./room-saver.js";
import { ServiceDirectory } from "./service-directory.js";
import type { ShardSettings } from "./settings.js";
import { TransitionBuilder } from "./step-builder.js";
import { TeamUsage } from "./team-use.js";
import { type JobEntry, type TaskEntry } from "./types.js";
import { type WorkerEntry, WorkerTable } from "./worker-table.js";

/** What a shard's owner is made from. */
export interface ShardSchedulerOptions {
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly clock: Clock;
    readonly random: Random;
    /** Reads the settings in force for a workload class, or for the shard as a whole; called at each decision. */
    readonly settings: (workloadClass?: WorkloadClass) => ShardSettings;
    /** When ownership was last confirmed by the platform, by the monotonic clock. */
    readonly lastContact: () => Milliseconds;
    /** Whether a former owner's leases and grants may still run. */
    readonly hasFormerOwner: boolean;
}

/** See the module's comment. */
export class ShardContext {
    readonly registry = new JobRegistry();
    readonly workers = new WorkerTable();
    readonly queue = new PendingQueue();
    readonly health = new WorkerHealth();
    readonly gangReservation: GangReservation;
    readonly leasePolicy = new LeasePolicy();
    readonly teamUsage = new TeamUsage();
    readonly services: ServiceDirectory;
    readonly openedAt: Milliseconds;
    #timestampTime = NaN;
    #timestampText = "";

    constructor(readonly options: ShardSchedulerOptions) {
        this.openedAt = options.clock.monotonic();
        this.gangReservation = new GangReservation(this.workers, task => this.expectedEnd(task));
        this.services = new ServiceDirectory({
            workers: this.workers,
            hasFormerOwner: options.hasFormerOwner,
            now: () => this.now(),
            slotGrant: () => options.settings().slotGrant,
        });
    }

    /** Now, by the monotonic clock. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** The wall-clock time in text. One pass makes thousands of records in a millisecond; the text is made once. */
    timestamp(): string {
        const now = this.options.clock.now().getTime();
        if (now !== this.#timestampTime) {
            this.#timestampTime = now;
            this.#timestampText = new Date(now).toISOString();
        }
        return this.#timestampText;
    }

    /** Makes what gathers the records and effects of one input. */
    beginTransition(): TransitionBuilder {
        return new TransitionBuilder(this.registry);
    }

    /** A job that is known to exist. */
    jobOf(id: JobId): JobEntry {
        return this.registry.jobs.get(id)!;
    }

    /** Whether leases may be given: only up to the horizon after the platform last confirmed ownership. */
    mayGrantLeases(): boolean {
        return this.now() - this.options.lastContact() < this.leasePolicy.currentTerms(this.options.settings()).horizon;
    }

    /** Until when a former owner's leases may run at a worker that was not heard. */
    formerLeasesExpireAt(): Milliseconds {
        if (!this.options.hasFormerOwner) {
            return -Infinity;
        }
        const { horizon, leaseDuration, leaseMargin } = this.leasePolicy.formerTerms();
        return this.openedAt + horizon + leaseDuration + leaseMargin;
    }

    /** Leases given now at a worker are counted there from the issue of its last number, which is not later than its answer. */
    recordLeaseGrant(entry: WorkerEntry): void {
        const { leaseDuration, leaseMargin } = this.leasePolicy.currentTerms(this.options.settings());
        entry.leasesExpireAt = Math.max(entry.leasesExpireAt, entry.lastAnswerAt + leaseDuration + leaseMargin);
    }

    /** Opens or closes a worker by all that is known of it. */
    updateSchedulable(entry: WorkerEntry): void {
        this.workers.updateSchedulable(entry, this.now(), this.options.settings().silentAfter);
    }

    /** When a running task is expected to end, by its caller's word; never, when nothing was said. */
    expectedEnd(task: TaskEntry): Milliseconds {
        const run = this.registry.jobs.get(jobOfTask(task.task))?.submission.expectedRunMilliseconds;
        return run === undefined ? Infinity : (task.confirmedAt ?? this.now()) + run;
    }

    /** The team that a task belongs to. */
    teamOf(task: TaskEntry): string {
        return this.jobOf(jobOfTask(task.task)).submission.team;
    }

    /** How long a lease may run that any owner gives now. */
    maxLeaseDuration(): Milliseconds {
        const former = this.leasePolicy.formerTerms();
        const own = this.leasePolicy.currentTerms(this.options.settings());
        return Math.max(former.leaseDuration + former.leaseMargin, own.leaseDuration + own.leaseMargin);
    }
}
