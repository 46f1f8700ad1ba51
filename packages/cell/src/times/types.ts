/** What is known of how long tasks really take. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun } from "../state/index.js";

/** Real time of a queue's tasks as a multiple of what their callers estimate. */
export interface TimeFactor {
    readonly median: number;
    /** Nine in ten tasks take no more than this. */
    readonly ninetieth: number;
    /** How many ends it was learned from. */
    readonly samples: number;
}

/** Learns the real times of tasks by queue, from the ends that the owner sees. */
export interface TaskTimes {
    /** A run has ended well. */
    noteDone(run: TaskRun, now: Milliseconds): void;
    /** The factor of a step's queue; one by its estimate while too little is known. */
    factorOf(step: Step): TimeFactor;
    /** How long a task of a step is expected to take on a worker of usual speed. */
    expectedTime(step: Step): Milliseconds;
}
