/** What is known of how fast workers are. */
import type { Milliseconds } from "@pebbledale/core";
import type { TaskRun, WorkerState } from "../state/index.js";

/** Learns how fast workers are, by worker and by kind. A slow kind is no sick worker. */
export interface WorkerSpeeds {
    /** A run has ended well: its time tells of its worker, beside those of the same step elsewhere. */
    noteDone(run: TaskRun, now: Milliseconds): void;
    /** Time that a task takes on a worker as a multiple of what it takes on the usual one of its service; 1 while not known. */
    slownessOf(worker: WorkerState): number;
    /** The worker is gone, or is another life. */
    forgetWorker(worker: WorkerState): void;
}
