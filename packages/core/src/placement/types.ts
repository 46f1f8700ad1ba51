/** Inputs and results of a placement decision. */
import type { Resources } from "../resources/index.js";

/** Position of a worker within a {@link FleetIndex}. */
export type WorkerSlot = number;

/** How a policy prefers among workers that fit. */
export enum Preference {
    /** The worker that is left with the least room: keeps whole workers free. */
    Pack = "pack",
    /** The worker that is left with the most room: keeps load even. */
    Spread = "spread",
}

/** What one task asks of placement. */
export interface PlacementRequest {
    readonly size: Resources;
    readonly preference: Preference;
    /** Share of each worker's processors that must stay free after the placement, from 0 to 1. */
    readonly headroom: number;
    /** Whether a worker may not be taken, besides its room; called only for workers that fit. */
    readonly isExcluded?: (worker: WorkerSlot) => boolean;
}

/** A decision with what it weighed. `worker` is -1 when none fits. */
export interface PlacementDecision {
    readonly worker: WorkerSlot;
    /** Number of workers whose room was looked at. */
    readonly considered: number;
    /** Number of those that fitted. */
    readonly feasible: number;
}

/** The slot that stands for "no worker". */
export const noWorker: WorkerSlot = -1;
