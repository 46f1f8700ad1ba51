/** What callers had of a replay, and what it cost. */
import type { Milliseconds } from "@pebbledale/core";
import type { LoadJob } from "./draw.js";

/** A job that takes up to this many times its objective is late and worth a part; after that it is worth nothing. */
const lateFactor = 3;
/** What a late job is worth, as a share. */
const lateWorth = 0.2;
/** A job is worth this much of its queue's mean, and the rest by its work, at most four times the mean (the users' rules). */
const fixedWorth = 0.3;
const maxWorth = 4;
/** Jobs are looked at by when they were handed in, in windows of this length. */
const windowLength: Milliseconds = 2_000;

/** What callers of some jobs had. */
export interface ServiceLevel {
    readonly submitted: number;
    readonly onTime: number;
    readonly late: number;
    /** Worth earned as a share of worth asked. */
    readonly share: number;
    readonly median: Milliseconds;
}

/** What callers of one queue had, also of its largest tenth of jobs and the fifth beneath. */
export interface QueueOutcome {
    readonly all: ServiceLevel;
    readonly largestTenth: ServiceLevel;
    readonly nextFifth: ServiceLevel;
}

/** See the module's comment. */
export interface Outcome {
    readonly total: number;
    readonly queues: Readonly<Record<string, QueueOutcome>>;
    /** Worth earned as a share of worth asked, by organisation; empty without any. */
    readonly organisations: ReadonlyMap<string, number>;
    /** The same of the tenth of the organisations that has the least; undefined without any. */
    readonly worstOrganisations: number | undefined;
    /** Worth earned as a share of worth asked, of jobs handed in during each of the two worst windows. */
    readonly worstWindows: number;
    /** Share of the time of tasks that last in which they were at work; undefined where there are none. */
    readonly lastingShare: number | undefined;
    /** Share of all processors that was free while tasks of the same service waited; by service, and in all. */
    readonly idleShares: Readonly<Record<string, number>>;
    readonly idleShare: number;
    /** Core-seconds of work that was thrown away, as a share of all that was done. */
    readonly wastedShare: number;
    /** Runs stopped, by reason. */
    readonly stops: Readonly<Record<string, number>>;
    /** How often a worker was judged slow. */
    readonly slowJudgements: number;
    readonly questions: number;
    /** What passes over what waits took; empty without a stopwatch. */
    readonly cycleTimes: readonly Milliseconds[];
    /** Most workers that one task at fault crashed. */
    readonly mostCrashes: number;
    /** What must not happen. */
    readonly violations: readonly string[];
}

/** One job with when it ended; undefined when it did not. */
export interface JobOutcome {
    readonly job: LoadJob;
    readonly duration: Milliseconds | undefined;
}

/** What callers of some jobs had. `mean`: mean size of their queue's jobs. */
export const serviceLevelOf = (jobs: readonly JobOutcome[], mean: number): ServiceLevel => {
    const grades = jobs.map(gradeOf);
    const worths = jobs.map(({ job }) => worthOf(job, mean));
    const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
    const times = jobs.map(({ duration: took }) => took ?? Infinity).sort((left, right) => left - right);
    return {
        submitted: jobs.length,
        onTime: grades.filter(grade => grade === 1).length,
        late: grades.filter(grade => grade === lateWorth).length,
        share: sum(grades.map((grade, index) => grade * worths[index])) / Math.max(1e-9, sum(worths)),
        median: times[Math.floor(times.length / 2)] ?? 0,
    };
};

/** Outcomes of one queue. */
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

/** Worth earned in all, as a share of worth asked. */
export const totalShare = (queues: ReadonlyMap<string, readonly JobOutcome[]>): number => {
    let asked = 0;
    let earned = 0;
    for (const jobs of queues.values()) {
        const worth = jobs.reduce((sum, { job }) => sum + job.load.worth, 0);
        asked += worth;
        earned += worth * queueOutcome(jobs).all.share;
    }
    return earned / Math.max(1e-9, asked);
};

/** What each organisation had of the worth that it asked for. */
export const organisationShares = (queues: ReadonlyMap<string, readonly JobOutcome[]>): Map<string, number> => {
    const byOrganisation = new Map<string, { readonly asked: number; readonly earned: number; }>();
    for (const jobs of queues.values()) {
        const mean = jobs.reduce((sum, { job }) => sum + job.coreSeconds, 0) / Math.max(1, jobs.length);
        for (const outcome of jobs) {
            const { organisation } = outcome.job.definition;
            if (organisation !== undefined) {
                const entry = byOrganisation.get(organisation) ?? { asked: 0, earned: 0 };
                const worth = worthOf(outcome.job, mean);
                byOrganisation.set(organisation, {
                    asked: entry.asked + worth,
                    earned: entry.earned + worth * gradeOf(outcome),
                });
            }
        }
    }
    return new Map([...byOrganisation].map(([name, { asked, earned }]) => [name, earned / asked]));
};

/** What the worst-served tenth of the organisations had of the worth that it asked for. */
export const worstTenth = (organisations: ReadonlyMap<string, number>): number | undefined => {
    const shares = [...organisations.values()].sort((left, right) => left - right);
    const worst = shares.slice(0, Math.ceil(shares.length / 10));
    return worst.length === 0 ? undefined : worst.reduce((sum, share) => sum + share, 0) / worst.length;
};

/** What callers had of the jobs that were handed in during the two worst windows. */
export const worstWindows = (queues: ReadonlyMap<string, readonly JobOutcome[]>): number => {
    const windows = new Map<number, { asked: number; earned: number; }>();
    for (const jobs of queues.values()) {
        const mean = jobs.reduce((sum, { job }) => sum + job.coreSeconds, 0) / Math.max(1, jobs.length);
        for (const outcome of jobs) {
            const at = Math.floor(outcome.job.at / windowLength);
            const window = windows.get(at) ?? { asked: 0, earned: 0 };
            const worth = worthOf(outcome.job, mean);
            windows.set(at, { asked: window.asked + worth, earned: window.earned + worth * gradeOf(outcome) });
        }
    }
    const worst = [...windows.values()].map(({ asked, earned }) => earned / asked).sort((left, right) => left - right);
    return worst.slice(0, 2).reduce((sum, share) => sum + share, 0) / Math.min(2, Math.max(1, worst.length));
};

const gradeOf = ({ job, duration: took }: JobOutcome): number => {
    const objective = job.load.extension * job.criticalPath + job.load.latencyTarget;
    if (took === undefined || took > lateFactor * objective) {
        return 0;
    }
    return took > objective ? lateWorth : 1;
};

const worthOf = ({ coreSeconds: size, load }: LoadJob, mean: number): number =>
    load.worth * Math.min(maxWorth, fixedWorth + (1 - fixedWorth) * size / mean);
