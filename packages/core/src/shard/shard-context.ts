/** State that the components of a shard's scheduler share. */
import { type Epoch, type JobId, jobOfTask, type ShardId } from "../ids/index.js";
import { WorkloadClass } from "../jobs/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { WorkerHealth } from "../worker-health/index.js";
import { GangReservation } from "./gang-reservation.js";
import { JobRegistry } from "./job-registry.js";
import { LeasePolicy } from "./lease-policy.js";
import { PendingQueue } from "./pending-queue.js";
import { ServiceDirectory } from "./service-directory.js";
import type { ShardSettings } from "./settings.js";
import { TeamUsage } from "./team-usage.js";
import { TransitionBuilder } from "./transition-builder.js";
import { type JobEntry, type TaskEntry } from "./types.js";
import { type WorkerEntry, WorkerTable } from "./worker-table.js";

/** Identity and dependencies of a shard's scheduler. */
export interface ShardSchedulerOptions {
    readonly shard: ShardId;
    readonly epoch: Epoch;
    readonly clock: Clock;
    readonly random: Random;
    /** Returns the current settings of a workload class, or of the shard as a whole. Called at each decision. */
    readonly settings: (workloadClass?: WorkloadClass) => ShardSettings;
    /** When the platform last confirmed ownership, on the monotonic clock. */
    readonly lastContact: () => Milliseconds;
    /** Whether leases and slot grants of a former owner may still be valid. */
    readonly hasFormerOwner: boolean;
}

/** State, clock and lease calculations shared by the components of a shard's scheduler. */
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

    /** Current time on the monotonic clock. */
    now(): Milliseconds {
        return this.options.clock.monotonic();
    }

    /** Wall-clock time in ISO 8601. Cached, as one cycle may write thousands of records within a millisecond. */
    timestamp(): string {
        const now = this.options.clock.now().getTime();
        if (now !== this.#timestampTime) {
            this.#timestampTime = now;
            this.#timestampText = new Date(now).toISOString();
        }
        return this.#timestampText;
    }

    beginTransition(): TransitionBuilder {
        return new TransitionBuilder(this.registry);
    }

    /** Returns a job that must exist. */
    jobOf(id: JobId): JobEntry {
        return this.registry.jobs.get(id)!;
    }

    /** Whether leases may be granted: only within the horizon after the platform last confirmed ownership. */
    mayGrantLeases(): boolean {
        return this.now() - this.options.lastContact() < this.leasePolicy.currentTerms(this.options.settings()).horizon;
    }

    /** When leases of a former owner have expired on a worker that this owner has not heard from. */
    formerLeasesExpireAt(): Milliseconds {
        if (!this.options.hasFormerOwner) {
            return -Infinity;
        }
        const { horizon, leaseDuration, leaseMargin } = this.leasePolicy.formerTerms();
        return this.openedAt + horizon + leaseDuration + leaseMargin;
    }

    /**
     * Extends the time until which leases on a worker may be valid, before leases are granted. The worker counts them from when it
     * issued its last report number, which is no later than its answer.
     */
    recordLeaseGrant(entry: WorkerEntry): void {
        const { leaseDuration, leaseMargin } = this.leasePolicy.currentTerms(this.options.settings());
        entry.leasesExpireAt = Math.max(entry.leasesExpireAt, entry.lastAnswerAt + leaseDuration + leaseMargin);
    }

    updateSchedulable(entry: WorkerEntry): void {
        this.workers.updateSchedulable(entry, this.now(), this.options.settings().silentAfter);
    }

    /** When a running task should end by its caller's estimate; Infinity without one. */
    expectedEnd(task: TaskEntry): Milliseconds {
        const run = this.registry.jobs.get(jobOfTask(task.task))?.submission.expectedRunMilliseconds;
        return run === undefined ? Infinity : (task.confirmedAt ?? this.now()) + run;
    }

    teamOf(task: TaskEntry): string {
        return this.jobOf(jobOfTask(task.task)).submission.team;
    }

    /** Longest validity of a lease that this owner or a former one may have granted. */
    maxLeaseDuration(): Milliseconds {
        const former = this.leasePolicy.formerTerms();
        const own = this.leasePolicy.currentTerms(this.options.settings());
        return Math.max(former.leaseDuration + former.leaseMargin, own.leaseDuration + own.leaseMargin);
    }
}
