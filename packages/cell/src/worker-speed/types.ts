/** The interface of the estimate of workers' speeds. */
import type { Milliseconds } from "@pebbledale/core";
import type { TaskRun, WorkerState } from "../state/index.js";

/** Learns how fast workers are and keeps {@link WorkerState.slowness} up to date. */
export interface WorkerSpeeds {
    /** Learns from a run that has completed. */
    recordCompletion(run: TaskRun, now: Milliseconds): void;
    /** The worker is gone or was started again. */
    forgetWorker(worker: WorkerState): void;
}
