/** Types shared by the components that follow workers. */
import type { Milliseconds } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/** Receives changes of workers that affect placement. */
export interface WorkerListener {
    /** A worker may have become available or have more free resources. */
    capacityChanged(): void;
    /** A worker announced that it leaves; its runs may have to move. */
    workerDraining(worker: WorkerState): void;
    /** A worker incarnation is over. */
    workerGone(worker: WorkerState): void;
}

/** Circumstances under which a worker fell silent. */
export interface Silence {
    /** Text for the log. */
    readonly cause: string;
    /** Time since its last answer; undefined when unknown. */
    readonly heardAgo?: Milliseconds | undefined;
}
