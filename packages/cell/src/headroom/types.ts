/** Room that is kept free for urgent work of few cores. */
import type { Milliseconds, ServiceName } from "@pebbledale/core";
import type { RankedStep } from "../choosing/index.js";
import type { Job, Step, WorkerState } from "../state/index.js";

/** What urgent steps of a service are expected to ask for. */
export interface Demand {
    /** Thousandths of a processor. */
    readonly processor: number;
    /** Mebibytes. */
    readonly memory: number;
}

/** Foresees what the most urgent queues of each service will ask for, from what came. */
export interface DemandForecast {
    /** A job was accepted: its first steps are asked about now and will be ready soon. */
    noteJob(job: Job, now: Milliseconds): void;
    /** A step has become ready. */
    noteReady(step: Step, now: Milliseconds): void;
    /** What will be asked for within a time from now. */
    demandWithin(service: ServiceName, time: Milliseconds, now: Milliseconds): Demand;
}

/** Decides how much of its room a service's patient work leaves free, and makes room where that is short. */
export interface Headroom {
    /** Begins a pass over the ready steps in their order. `open`: workers that may be ordered. */
    begin(ranked: readonly RankedStep[], open: readonly WorkerState[], now: Milliseconds): void;
    /** How many tasks of a step a worker takes at most, so that urgent steps find room. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number;
    /** Tasks of a step were ordered at a worker. */
    take(worker: WorkerState, step: Step, count: number): void;
    /** Some tasks of a step found no room in this pass. */
    noteShortage(ranked: RankedStep, count: number, now: Milliseconds): void;
    /** Ends a pass: room is made for what is short of it. */
    end(now: Milliseconds): void;
}
