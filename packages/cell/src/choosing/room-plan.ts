/** Where and when room is expected. */
import type { Milliseconds } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/** Where and when a step is expected to fit. */
export interface ReservationPlan {
    readonly availableAt: Milliseconds;
    /** How many of the step's tasks each worker is to take. */
    readonly tasksByWorker: ReadonlyMap<WorkerState, number>;
    /** Whether runs that give way are to be stopped for it. */
    readonly preempts: boolean;
}
