/** Interface of the estimator of workers' speeds. */
import type { Milliseconds } from "@pebbledale/core";
import type { TaskRun, WorkerState } from "../state/index.js";

/** Learns how fast workers are and keeps {@link WorkerState.slowness} up to date. */
export interface WorkerSpeeds {
    /** Updates the estimates from a completed run. */
    recordCompletion(run: TaskRun, now: Milliseconds): void;
    /** Drops the estimate of a worker that is gone or restarted. */
    forgetWorker(worker: WorkerState): void;
}
