/** Room that is kept free for urgent work of few cores; not to be confused with services whose VMs are switched off (`isHeadroom`). */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { RankedStep } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";

/** Decides how much of its room a service's patient work leaves free, and makes room where that is short. */
export interface Headroom {
    /** Begins a pass over the ready steps in their order. `open`: workers that may be ordered. */
    beginCycle(ranked: readonly RankedStep[], open: readonly WorkerState[], now: Milliseconds): void;
    /** How many tasks of a step a worker takes at most, so that urgent steps find room. */
    limitFor(worker: WorkerState, step: Step): number;
    /** Tasks of a step were ordered at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number): void;
    /** Some tasks of a step found no room in this pass. */
    noteUnplaced(ranked: RankedStep, count: number): void;
    /** Ends a pass: room is made for what is short of it. */
    endCycle(now: Milliseconds): void;
    /** What the last pass kept free in a service, in thousandths of a processor. */
    headroomOf(service: ServiceName): number;
}

/** Foresees how much urgent work of a service is at work or waits at one time, from what was seen. */
export interface DemandForecast {
    /** This much, in thousandths of a processor, is at work or waits now. */
    observe(processor: number, now: Milliseconds): void;
    /** This much is to be reckoned with soon. */
    readonly expected: number;
}
