/** Load patterns: submitted jobs, workers and faults of a replay. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";
import type { AdvicePolicy, TaskSize } from "../../../src/index.js";

/** Lognormal distribution, truncated at `max`. */
export interface Distribution {
    readonly mean: number;
    /** Standard deviation as a share of the mean. */
    readonly spread: number;
    readonly max: number;
}

/** Advice about the steps of a queue: each worker is permitted with this probability, independently for each step. */
export interface LoadAdvice extends AdvicePolicy {
    readonly permittedShare: number;
}

/** Jobs that callers submit to one queue. */
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
    /** Numbers of accelerators per task, one of which is chosen for each job; absent where tasks need none. */
    readonly accelerators?: readonly number[];
    /** Service whose workers run the jobs; absent for the first service of the pattern. */
    readonly service?: string;
    /** Time after which the caller cancels the job, whose tasks are long-running; absent where tasks end by themselves. */
    readonly lifetime?: Distribution;
    /** Duration of one task on a worker of full speed. */
    readonly work: Distribution;
    /** Maximum relative deviation of a task's work from the mean of its step. */
    readonly unevenness: number;
    /** Maximum error of estimates, as the natural logarithm of their ratio to the mean work. */
    readonly estimateError: number;
    /** Share of the steps with several tasks that are gangs, from 0 to 1. */
    readonly gangShare: number;
    readonly savesShare: number;
    /** Probability for each step that the first run of one of its tasks fails. */
    readonly failingShare: number;
    /** Whether the first task of each job crashes every worker that starts it. */
    readonly crashesWorkers?: boolean;
    readonly advice: LoadAdvice | undefined;
    /** Value of a job of mean size to its caller. */
    readonly value: number;
}

/** An organisation, which submits jobs in proportion to its weight. */
export interface LoadOrganisation {
    readonly name: string;
    readonly weight: number;
    /** Cores that its running tasks may use. */
    readonly cores: number;
    /** Accelerators that its running tasks may use; absent where they are not limited. */
    readonly accelerators?: number;
}

/** Sinusoidal change of the arrival rate; `share` is its amplitude relative to the mean. */
export interface Swing {
    readonly share: number;
    readonly period: Milliseconds;
}

/** A service and its workers. */
export interface LoadService {
    readonly name: string;
    readonly workers: number;
    readonly capacity: TaskSize;
    readonly workersPerRack: number;
    readonly slowness: readonly number[];
}

/** Temporary multiplication of a queue's arrival rate. */
export interface Burst {
    readonly queue: string;
    /** Organisation that submits the additional jobs; absent if all organisations do. */
    readonly organisation?: string;
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
    readonly factor: number;
}

/** A share of the workers announces that it leaves, and does so after the notice period. */
export interface Departure {
    readonly at: Milliseconds;
    readonly share: number;
    readonly notice: Milliseconds;
}

/** A share of the workers crashes without a faulty task. */
export interface CrashWave {
    readonly at: Milliseconds;
    readonly share: number;
}

/** One of the data halls is closed to new runs for a while. Its workers are slow for some time after its return. */
export interface HallClosure {
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
    readonly coldFor: Milliseconds;
    /** Factor of the duration of work that is done while a worker is cold. */
    readonly coldFactor: number;
}

/** Temporary additional delay of the store. */
export interface SlowStore {
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
    readonly delay: Milliseconds;
}

/** Time without an owner. Jobs that arrive meanwhile are accepted afterwards. */
export interface OwnerPause {
    readonly at: Milliseconds;
    readonly duration: Milliseconds;
}

/** Complete description of a replay. */
export interface LoadPattern {
    readonly name: string;
    readonly seed: number;
    readonly workers: number;
    readonly capacity: TaskSize;
    readonly workersPerRack: number;
    /** Factors of the capacity, assigned to workers in turn; absent where all workers are equal. */
    readonly sizes?: readonly number[];
    /** Factors of the duration of tasks, assigned to workers in turn. */
    readonly slowness: readonly number[];
    /** Services besides the first one. */
    readonly otherServices?: readonly LoadService[];
    /** Absent where the arrival rate is constant. */
    readonly swing?: Swing;
    /** Number of VMs that ask the advice service, each with one call at a time. */
    readonly advisingVms: number;
    /** Time for which jobs arrive. */
    readonly duration: Milliseconds;
    /** Additional time for accepted jobs to end. */
    readonly drainTime: Milliseconds;
    readonly queues: readonly QueueLoad[];
    readonly bursts: readonly Burst[];
    /** Absent in a cell without organisations. */
    readonly organisations?: readonly LoadOrganisation[];
    /** Leaves out jobs beyond their organisations' entitlement, to compare the others with and without them. */
    readonly excludesSurplus?: boolean;
    readonly departures: readonly Departure[];
    /** Absent where workers crash only because of faulty tasks, or not at all. */
    readonly crashes?: readonly CrashWave[];
    /** Closures of the last of four data halls, among which racks are distributed; absent where all workers are in one hall. */
    readonly closures?: readonly HallClosure[];
    readonly slowStores: readonly SlowStore[];
    readonly pauses: readonly OwnerPause[];
}
