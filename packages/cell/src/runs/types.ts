/** Words of the cell's workers and their runs. */
import type { Milliseconds } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/** Told what may make room or free what was held. */
export interface WorkerListener {
    /** A worker may be ordered that could not be before, or has more room. */
    roomChanged(): void;
    /** A worker drains: what runs there may have to move. */
    workerDraining(worker: WorkerState): void;
    /** Nothing of a worker can run any more. */
    workerGone(worker: WorkerState): void;
}

/** What is known of a silence. */
export interface Silence {
    /** Why the worker is taken to be silent. */
    readonly cause: string;
    /** How long ago it last answered; undefined when that is not known. */
    readonly heardAgo?: Milliseconds | undefined;
}
