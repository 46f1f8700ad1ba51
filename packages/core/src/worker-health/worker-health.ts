/** Attribution of task failures to workers or jobs. */
import type { JobId, WorkerId } from "../ids/index.js";

/** Thresholds above which a worker is considered failing. */
export interface HealthThresholds {
    /** Number of most recent outcomes evaluated per worker. */
    readonly outcomeWindow: number;
    /** Minimum number of different jobs that must have failed on the worker. */
    readonly minFailedJobs: number;
    /** Minimum share of failures among the evaluated outcomes. */
    readonly minFailureShare: number;
}

/** Thresholds for workers with few, long tasks, where a wrong quarantine costs more than some failures. */
export const defaultHealthThresholds: HealthThresholds = { outcomeWindow: 12, minFailedJobs: 4, minFailureShare: 0.5 };

const noWorkers: ReadonlySet<WorkerId> = new Set();

/** A failing worker's share of failures is at least this many times that of its peers. */
const minPeerRatio = 2;

interface Outcome {
    readonly job: JobId;
    readonly failed: boolean;
}

/**
 * Distinguishes workers that fail their tasks from jobs that fail everywhere.
 *
 * A failure counts against a worker only while the job has not failed on another worker; a job that fails on two workers is
 * assumed to be at fault itself. A worker must also fail much more often than its peers: when many jobs start to fail at
 * once, each has failed on only one worker so far, and no worker is to blame.
 */
export class WorkerHealth {
    readonly #outcomes = new Map<WorkerId, Outcome[]>();
    readonly #failedOn = new Map<JobId, Set<WorkerId>>();
    /** Totals over all workers. */
    #outcomeCount = 0;
    #failureCount = 0;
    readonly #quarantines = new Map<WorkerId, number>();

    constructor(private readonly thresholds: HealthThresholds = defaultHealthThresholds) {}

    recordSuccess(worker: WorkerId, job: JobId): void {
        // The job is able to succeed, so its failures count against the workers again.
        this.#failedOn.delete(job);
        this.#add(worker, { job, failed: false });
        if (this.#recentFailures(worker) === 0) {
            this.#quarantines.delete(worker);
        }
    }

    /** Records a failure and returns whether the worker is now considered failing. */
    recordFailure(worker: WorkerId, job: JobId): boolean {
        const workers = this.#failedOn.get(job) ?? new Set<WorkerId>();
        workers.add(worker);
        this.#failedOn.set(job, workers);
        this.#add(worker, { job, failed: true });
        return this.isFailing(worker);
    }

    /** Whether a worker exceeds the thresholds. Jobs that also fail elsewhere are left out. */
    isFailing(worker: WorkerId): boolean {
        const outcomes = this.#attributableOutcomes(worker);
        const failed = outcomes.filter(outcome => outcome.failed);
        const share = failed.length / Math.max(1, outcomes.length);
        // Several tasks of one job may fail together because of the job.
        const jobs = new Set(failed.map(outcome => outcome.job)).size;
        return jobs >= this.thresholds.minFailedJobs && share >= this.thresholds.minFailureShare
            && share >= this.#peerFailureShare(worker) * minPeerRatio;
    }

    /** Share of failures among the recent outcomes of all other workers. */
    #peerFailureShare(worker: WorkerId): number {
        const own = this.#outcomes.get(worker) ?? [];
        const ownFailures = own.filter(outcome => outcome.failed).length;
        return (this.#failureCount - ownFailures) / Math.max(1, this.#outcomeCount - own.length);
    }

    /** Whether any recent failure is attributed to a worker. */
    isSuspect(worker: WorkerId): boolean {
        return this.#recentFailures(worker) > 0;
    }

    /** Deletes the history of a worker that is gone. */
    forgetWorker(worker: WorkerId): void {
        (this.#outcomes.get(worker) ?? []).forEach(outcome => this.#count(outcome, -1));
        this.#outcomes.delete(worker);
        this.#quarantines.delete(worker);
    }

    /** Starts a quarantine: clears the worker's outcomes and returns the number of consecutive quarantines, from 1. */
    beginQuarantine(worker: WorkerId): number {
        const count = (this.#quarantines.get(worker) ?? 0) + 1;
        this.#quarantines.set(worker, count);
        (this.#outcomes.get(worker) ?? []).forEach(outcome => this.#count(outcome, -1));
        this.#outcomes.delete(worker);
        return count;
    }

    /** Workers on which a job failed. */
    failedWorkersOf(job: JobId): ReadonlySet<WorkerId> {
        return this.#failedOn.get(job) ?? noWorkers;
    }

    /** Deletes the history of a finished job. */
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
