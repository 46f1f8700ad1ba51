/** Inputs and results of a placement decision. */
import type { Resources } from "../resources/index.js";

/** Position of a worker within a {@link FleetIndex}, assigned when the worker is added. */
export type WorkerSlot = number;

/** Which of several feasible workers to choose. */
export enum Preference {
    /** The worker with the least capacity left afterwards, which keeps whole workers free. */
    Pack = "pack",
    /** The worker with the most capacity left afterwards, which evens out load. */
    Spread = "spread",
}

/** Requirements of one task. */
export interface PlacementRequest {
    readonly size: Resources;
    readonly preference: Preference;
    /** Share of each worker's processors that must stay free after the placement, from 0 to 1. */
    readonly headroom: number;
    /** Excludes workers for reasons other than capacity. Called only for workers with enough capacity. */
    readonly isExcluded?: (worker: WorkerSlot) => boolean;
}

/** Result of a search; `worker` is {@link noWorker} when none is feasible. */
export interface PlacementDecision {
    readonly worker: WorkerSlot;
    /** Number of workers whose capacity was checked. */
    readonly considered: number;
    /** Number of feasible workers found before the search stopped. */
    readonly feasible: number;
}

/** Sentinel slot for "no worker". */
export const noWorker: WorkerSlot = -1;
