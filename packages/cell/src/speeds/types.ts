/** What is known of how fast workers are. */
import type { Milliseconds } from "@pebbledale/core";
import type { TaskRun, WorkerState } from "../state/index.js";

/** Learns how fast workers are. It keeps {@link WorkerState.slowness} up to date, which decisions read. */
export interface WorkerSpeeds {
    /** A run has ended well: its time tells of its worker, beside those of the same step elsewhere. */
    noteDone(run: TaskRun, now: Milliseconds): void;
    /** The worker is gone, or is another life. */
    forgetWorker(worker: WorkerState): void;
}
