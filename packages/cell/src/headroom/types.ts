/** Headroom for urgent narrow work. Not related to `isHeadroom` of a service, which marks VMs that are switched off. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { RankedStep } from "../selection/index.js";
import type { Step, WorkerState } from "../state/index.js";

/** Decides how much capacity deferrable work must leave free in each service, and preempts runs where urgent work lacks it. */
export interface Headroom {
    /** Begins a cycle over the ready steps in their order. `openWorkers`: workers that accept new runs. */
    beginCycle(ranked: readonly RankedStep[], openWorkers: readonly WorkerState[], now: Milliseconds): void;
    /** Upper bound of a step's tasks on a worker, so that the headroom stays free. */
    limitFor(worker: WorkerState, step: Step): number;
    /** Accounts for tasks of a step that are about to be placed at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number): void;
    /** Reports tasks of a step that could not be placed in this cycle. */
    noteUnplaced(ranked: RankedStep, count: number): void;
    /** Ends a cycle: preempts runs for urgent tasks that could not be placed. */
    endCycle(now: Milliseconds): void;
    /** Headroom of a service as of the last cycle, in thousandths of a processor. */
    headroomOf(service: ServiceName): number;
}

/** Forecasts the urgent demand of a service, running and waiting, from earlier observations. */
export interface DemandForecast {
    /** Records the current demand, in thousandths of a processor. */
    observe(processor: number, now: Milliseconds): void;
    /** Demand to expect soon, in thousandths of a processor. */
    readonly expected: number;
}
