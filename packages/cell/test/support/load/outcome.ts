/** Results of a replay. */
import type { Milliseconds } from "@pebbledale/core";
import type { LoadJob } from "./generate-jobs.js";

/** A job that takes up to this multiple of its objective is late and earns part of its value; a later one earns nothing. */
const lateFactor = 3;
/** Share of its value that a late job earns. */
const lateValueShare = 0.2;
/** Share of a job's value that does not depend on its size. */
const fixedValueShare = 0.3;
/** Maximum value of a job, as a multiple of its queue's mean. */
const maxRelativeValue = 4;
/** Length of the windows of submission time by which jobs are grouped. */
const windowLength: Milliseconds = 2_000;

/** Service level of a group of jobs. */
export interface ServiceLevel {
    readonly submitted: number;
    readonly onTime: number;
    readonly late: number;
    /** Earned share of the jobs' total value. */
    readonly share: number;
    readonly median: Milliseconds;
}

/** Service levels of a queue, also for the largest tenth of its jobs and the fifth that follows by size. */
export interface QueueOutcome {
    readonly all: ServiceLevel;
    readonly largestTenth: ServiceLevel;
    readonly nextFifth: ServiceLevel;
}

/** Results that callers see, and what they cost in work and questions. */
export interface Outcome {
    readonly total: number;
    readonly queues: Readonly<Record<string, QueueOutcome>>;
    /** Earned share of value by organisation; empty in a cell without organisations. */
    readonly organisations: ReadonlyMap<string, number>;
    /** The same for the worst-served tenth of the organisations; undefined in a cell without organisations. */
    readonly worstOrganisations: number | undefined;
    /** Earned share of value of the jobs submitted in the two worst windows. */
    readonly worstWindows: number;
    /** Share of all accepted jobs, surplus included, that were not completed within three times their objective. */
    readonly unservedShare: number;
    /** Share of their time for which long-running tasks were running; undefined where there are none. */
    readonly lastingShare: number | undefined;
    /** Share of all processors that was free while tasks of the same service waited, by service and in total. */
    readonly idleShares: Readonly<Record<string, number>>;
    readonly idleShare: number;
    /** Share of the completed core-seconds that was lost. */
    readonly wastedShare: number;
    /** Number of stopped runs by reason. */
    readonly stops: Readonly<Record<string, number>>;
    /** How often a worker was judged slow. */
    readonly slowJudgements: number;
    readonly questions: number;
    /** Durations of the scheduling cycles; empty without a stopwatch. */
    readonly cycleTimes: readonly Milliseconds[];
    /** Maximum number of workers that one task crashed. */
    readonly mostCrashes: number;
    /** Violated invariants. */
    readonly violations: readonly string[];
}

/** A job with the time that it took; undefined when it did not end. */
export interface JobOutcome {
    readonly job: LoadJob;
    readonly duration: Milliseconds | undefined;
}

/** Computes the service level of jobs of one queue. `mean`: mean size of the queue's jobs. */
export const serviceLevelOf = (jobs: readonly JobOutcome[], mean: number): ServiceLevel => {
    const grades = jobs.map(gradeOf);
    const jobValues = jobs.map(({ job }) => relativeValueOf(job, mean));
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    const times = jobs.map(({ duration }) => duration ?? Infinity).sort((left, right) => left - right);
    return {
        submitted: jobs.length,
        onTime: grades.filter(grade => grade === 1).length,
        late: grades.filter(grade => grade === lateValueShare).length,
        share: sum(grades.map((grade, index) => grade * jobValues[index])) / Math.max(1e-9, sum(jobValues)),
        median: times[Math.floor(times.length / 2)] ?? 0,
    };
};

/** Computes the service levels of one queue. */
export const queueOutcome = (jobs: readonly JobOutcome[]): QueueOutcome => {
    const mean = jobs.reduce((sum, { job }) => sum + job.coreSeconds, 0) / Math.max(1, jobs.length);
    const bySize = [...jobs].sort((left, right) => right.job.coreSeconds - left.job.coreSeconds);
    const tenth = Math.ceil(jobs.length / 10);
    return {
        all: serviceLevelOf(jobs, mean),
        largestTenth: serviceLevelOf(bySize.slice(0, tenth), mean),
        nextFifth: serviceLevelOf(bySize.slice(tenth, 3 * tenth), mean),
    };
};

/** Earned share of the value of all queues. */
export const totalShare = (queues: ReadonlyMap<string, readonly JobOutcome[]>): number => {
    let asked = 0;
    let earned = 0;
    for (const jobs of queues.values()) {
        const worth = jobs.reduce((sum, { job }) => sum + job.load.value, 0);
        asked += worth;
        earned += worth * queueOutcome(jobs).all.share;
    }
    return earned / Math.max(1e-9, asked);
};

/** Share of the jobs that earned nothing. */
export const unservedShare = (jobs: readonly JobOutcome[]): number =>
    jobs.filter(job => gradeOf(job) === 0).length / Math.max(1, jobs.length);

/** Earned share of value by organisation. */
export const organisationShares = (queues: ReadonlyMap<string, readonly JobOutcome[]>): Map<string, number> => {
    const byOrganisation = new Map<string, { readonly asked: number; readonly earned: number; }>();
    for (const jobs of queues.values()) {
        const mean = jobs.reduce((sum, { job }) => sum + job.coreSeconds, 0) / Math.max(1, jobs.length);
        for (const outcome of jobs) {
            const { organisation } = outcome.job.definition;
            if (organisation !== undefined) {
                const entry = byOrganisation.get(organisation) ?? { asked: 0, earned: 0 };
                const worth = relativeValueOf(outcome.job, mean);
                byOrganisation.set(organisation, {
                    asked: entry.asked + worth,
                    earned: entry.earned + worth * gradeOf(outcome),
                });
            }
        }
    }
    return new Map([...byOrganisation].map(([name, { asked, earned }]) => [name, earned / asked]));
};

/** Mean earned share of the worst-served tenth of the organisations; undefined without organisations. */
export const worstTenth = (organisations: ReadonlyMap<string, number>): number | undefined => {
    const shares = [...organisations.values()].sort((left, right) => left - right);
    const worst = shares.slice(0, Math.ceil(shares.length / 10));
    return worst.length === 0 ? undefined : worst.reduce((sum, share) => sum + share, 0) / worst.length;
};

/** Mean earned share of the jobs submitted in the two worst windows. */
export const worstWindows = (queues: ReadonlyMap<string, readonly JobOutcome[]>): number => {
    const windows = new Map<number, { asked: number; earned: number; }>();
    for (const jobs of queues.values()) {
        const mean = jobs.reduce((sum, { job }) => sum + job.coreSeconds, 0) / Math.max(1, jobs.length);
        for (const outcome of jobs) {
            const at = Math.floor(outcome.job.at / windowLength);
            const window = windows.get(at) ?? { asked: 0, earned: 0 };
            const worth = relativeValueOf(outcome.job, mean);
            windows.set(at, { asked: window.asked + worth, earned: window.earned + worth * gradeOf(outcome) });
        }
    }
    const worst = [...windows.values()].map(({ asked, earned }) => earned / asked).sort((left, right) => left - right);
    return worst.slice(0, 2).reduce((sum, share) => sum + share, 0) / Math.min(2, Math.max(1, worst.length));
};

const gradeOf = ({ job, duration }: JobOutcome): number => {
    const objective = job.load.extension * job.criticalPath + job.load.latencyTarget;
    if (duration === undefined || duration > lateFactor * objective) {
        return 0;
    }
    return duration > objective ? lateValueShare : 1;
};

const relativeValueOf = ({ coreSeconds, load }: LoadJob, mean: number): number =>
    load.value * Math.min(maxRelativeValue, fixedValueShare + (1 - fixedValueShare) * coreSeconds / mean);
