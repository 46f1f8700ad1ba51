/** Plans for steps that do not fit yet. */
import type { Milliseconds } from "@pebbledale/core";
import type { WorkerState } from "../state/index.js";

/** The workers on which a step is expected to fit, and from when. */
export interface ReservationPlan {
    readonly availableAt: Milliseconds;
    /** Number of the step's tasks planned for each worker. */
    readonly tasksByWorker: ReadonlyMap<WorkerState, number>;
    /** Whether the plan counts on preempting runs. */
    readonly preempts: boolean;
}
