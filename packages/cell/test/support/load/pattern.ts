/** Load patterns: what callers hand in, on which workers, and what goes wrong meanwhile. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";
import type { AdvicePolicy, TaskSize } from "../../../src/index.js";

/** Sizes around a mean: lognormal, cut at `most`. */
export interface Distribution {
    readonly mean: number;
    /** Standard deviation as a share of the mean. */
    readonly spread: number;
    readonly max: number;
}

/** Advice on the steps of a queue: each worker is permitted with this chance, for each step anew. */
export interface LoadAdvice extends AdvicePolicy {
    readonly permittedShare: number;
}

/** What callers of one queue hand in. */
export interface QueueLoad {
    readonly name: string;
    readonly priority: number;
    readonly perSecond: number;
    readonly extension: number;
    readonly latencyTarget: Milliseconds;
    readonly steps: Distribution;
    readonly width: Distribution;
    readonly processorThousandths: Distribution;
    readonly memoryMebibytes: Distribution;
    /** Accelerators of a task, one of these for each job; left out where tasks want none. */
    readonly accelerators?: readonly number[];
    /** The service whose workers run it; left out for the pattern's first one. */
    readonly service?: string;
    /** Its tasks last until the caller cancels the job after this time; left out where they end by themselves. */
    readonly lifetime?: Distribution;
    /** Work of one task on a worker of full speed. */
    readonly work: Distribution;
    /** How far tasks of one step differ, as a share of their mean. */
    readonly unevenness: number;
    /** How far the callers' estimates are off: the natural logarithm of the factor is within plus or minus this. */
    readonly estimateError: number;
    /** Shares of the steps, from 0 to 1. */
    readonly gangShare: number;
    readonly savesShare: number;
    /** Of each step: the chance that one task fails once, by its own fault. */
    readonly failingShare: number;
    /** Whether the first task of each job crashes every worker that starts it. */
    readonly crashesWorkers?: boolean;
    readonly advice: LoadAdvice | undefined;
    /** What a mean job is worth to its caller. */
    readonly worth: number;
}

/** One of those that share the cell; jobs are of it in the share of its weight. */
export interface LoadOrganisation {
    readonly name: string;
    readonly weight: number;
    /** Cores that it may have at work. */
    readonly cores: number;
}

/** Demand that rises and falls: by this share of the mean, once in each period. */
export interface Swing {
    readonly share: number;
    readonly period: Milliseconds;
}

/** Workers of a further service. */
export interface LoadService {
    readonly name: string;
    readonly workers: number;
    readonly capacity: TaskSize;
    readonly workersPerRack: number;
    readonly slowness: readonly number[];
}

/** A queue's load multiplied for a while. */
export interface Burst {
    readonly queue: string;
    /** Whose the jobs beyond the usual ones are; left out where they are everyone's. */
    readonly organisation?: string;
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
    readonly factor: number;
}

/** Workers that say that they leave, and go when their notice is over. */
export interface Departure {
    readonly at: Milliseconds;
    readonly share: number;
    readonly notice: Milliseconds;
}

/** Workers that crash for a reason of their own. */
export interface CrashWave {
    readonly at: Milliseconds;
    readonly share: number;
}

/** Records are kept this much later for a while: the store is slow. */
export interface SlowStore {
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
    readonly delay: Milliseconds;
}

/** Nothing is taken or decided for a while: the cell changes its owner. Jobs that come meanwhile are taken after it. */
export interface OwnerPause {
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
}

/** A whole pattern. */
export interface LoadPattern {
    readonly name: string;
    readonly seed: number;
    readonly workers: number;
    readonly capacity: TaskSize;
    readonly workersPerRack: number;
    /** Workers have this many times the capacity, by worker in turn; left out where all are alike. */
    readonly sizes?: readonly number[];
    /** Tasks take this many times their work, by worker in turn. */
    readonly slowness: readonly number[];
    /** Services beside the first. */
    readonly otherServices?: readonly LoadService[];
    /** Left out where demand is even. */
    readonly swing?: Swing;
    /** VMs that ask the advice service, one call at a time each. */
    readonly advisingVms: number;
    /** Jobs come for so long. */
    readonly duration: Milliseconds;
    /** What was accepted is given so long to end after that. */
    readonly drainTime: Milliseconds;
    readonly queues: readonly QueueLoad[];
    readonly bursts: readonly Burst[];
    /** Left out where nobody is told apart. */
    readonly organisations?: readonly LoadOrganisation[];
    /** Whether jobs beyond what their organisations are owed are left out, so that the others can be compared with and without them. */
    readonly excludesSurplus?: boolean;
    readonly departures: readonly Departure[];
    /** Left out where only tasks crash workers, or nothing does. */
    readonly crashes?: readonly CrashWave[];
    readonly slowStores: readonly SlowStore[];
    readonly pauses: readonly OwnerPause[];
}
