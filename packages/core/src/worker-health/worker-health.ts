/**
 * Tells a worker that fails what it starts from a job that fails everywhere.
 *
 * Each worker keeps its last outcomes. A failure counts against a worker only while the same job has not failed on
 * another one: a job that fails on two workers is taken to be at fault itself, and its failures are taken back. And it
 * counts only if the worker does much worse than its peers: when many jobs fail everywhere at once, each has failed on
 * one worker only so far, and no worker is to blame.
 */
import type { JobId, WorkerId } from "../ids/index.js";

/** When a worker looks at fault. */
export interface HealthThresholds {
    /** Outcomes that are remembered of one worker. */
    readonly outcomeWindow: number;
    /** Fewest jobs with failures there that can lead to quarantine. */
    readonly minFailedJobs: number;
    /** Share of failures among the remembered outcomes that leads to quarantine. */
    readonly minFailureShare: number;
}

/** Limits where a worker's tasks are few and long: a wrong quarantine costs more than some failures. */
export const defaultHealthThresholds: HealthThresholds = { outcomeWindow: 12, minFailedJobs: 4, minFailureShare: 0.5 };

const noWorkers: ReadonlySet<WorkerId> = new Set();

/** A worker's share of failures must be this many times that of its peers. */
const minPeerRatio = 2;

interface Outcome {
    readonly job: JobId;
    readonly failed: boolean;
}

/** Outcomes by worker and failures by job. */
export class WorkerHealth {
    readonly #outcomes = new Map<WorkerId, Outcome[]>();
    readonly #failedOn = new Map<JobId, Set<WorkerId>>();
    /** Sums over all workers. */
    #outcomeCount = 0;
    #failureCount = 0;
    readonly #quarantines = new Map<WorkerId, number>();

    constructor(private readonly thresholds: HealthThresholds = defaultHealthThresholds) {}

    /** Notes that a task of a job succeeded at a worker. */
    recordSuccess(worker: WorkerId, job: JobId): void {
        // The job can succeed, so the workers where it failed are at fault after all.
        this.#failedOn.delete(job);
        this.#add(worker, { job, failed: false });
        if (this.#recentFailures(worker) === 0) {
            this.#quarantines.delete(worker);
        }
    }

    /** Notes a failure; resolves to whether the worker now looks at fault. */
    recordFailure(worker: WorkerId, job: JobId): boolean {
        const workers = this.#failedOn.get(job) ?? new Set<WorkerId>();
        workers.add(worker);
        this.#failedOn.set(job, workers);
        this.#add(worker, { job, failed: true });
        return this.isFailing(worker);
    }

    /** Whether a worker fails most of what it starts, jobs that fail elsewhere too left out. */
    isFailing(worker: WorkerId): boolean {
        const outcomes = this.#attributableOutcomes(worker);
        const failed = outcomes.filter(outcome => outcome.failed);
        const share = failed.length / Math.max(1, outcomes.length);
        // Several tasks of one job may fail together for the job's own sake.
        const jobs = new Set(failed.map(outcome => outcome.job)).size;
        return jobs >= this.thresholds.minFailedJobs && share >= this.thresholds.minFailureShare
            && share >= this.#peerFailureShare(worker) * minPeerRatio;
    }

    /** Share of failures among the remembered outcomes of all other workers. */
    #peerFailureShare(worker: WorkerId): number {
        const own = this.#outcomes.get(worker) ?? [];
        const ownFailures = own.filter(outcome => outcome.failed).length;
        return (this.#failureCount - ownFailures) / Math.max(1, this.#outcomeCount - own.length);
    }

    /** Whether a worker's last outcomes hold failures that are not their jobs' own. */
    isSuspect(worker: WorkerId): boolean {
        return this.#recentFailures(worker) > 0;
    }

    /** Drops what is known of a worker that is gone. */
    forgetWorker(worker: WorkerId): void {
        (this.#outcomes.get(worker) ?? []).forEach(outcome => this.#count(outcome, -1));
        this.#outcomes.delete(worker);
        this.#quarantines.delete(worker);
    }

    /** Number of this quarantine of a worker, from 1; its outcomes are forgotten, so that it starts afresh. */
    beginQuarantine(worker: WorkerId): number {
        const count = (this.#quarantines.get(worker) ?? 0) + 1;
        this.#quarantines.set(worker, count);
        (this.#outcomes.get(worker) ?? []).forEach(outcome => this.#count(outcome, -1));
        this.#outcomes.delete(worker);
        return count;
    }

    /** Number of different workers on which a job failed. */
    failedWorkersOf(job: JobId): ReadonlySet<WorkerId> {
        return this.#failedOn.get(job) ?? noWorkers;
    }

    /** Drops what is known of a job that has its final answer. */
    forgetJob(job: JobId): void {
        this.#failedOn.delete(job);
    }

    #attributableOutcomes(worker: WorkerId): Outcome[] {
        return (this.#outcomes.get(worker) ?? []).filter(
            outcome => !outcome.failed || (this.#failedOn.get(outcome.job)?.size ?? 0) < 2,
        );
    }

    #recentFailures(worker: WorkerId): number {
        return this.#attributableOutcomes(worker).filter(outcome => outcome.failed).length;
    }

    #add(worker: WorkerId, outcome: Outcome): void {
        const outcomes = this.#outcomes.get(worker) ?? [];
        outcomes.push(outcome);
        this.#count(outcome, 1);
        if (outcomes.length > this.thresholds.outcomeWindow) {
            this.#count(outcomes.shift()!, -1);
        }
        this.#outcomes.set(worker, outcomes);
    }

    #count(outcome: Outcome, sign: number): void {
        this.#outcomeCount += sign;
        this.#failureCount += outcome.failed ? sign : 0;
    }
}
