/** Tuning constants of headroom. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Time constant of the decay of expected urgent demand: bursts recur, and it takes seconds until resources come free. */
export const demandDecayTime: Milliseconds = 4_000;
/** Time constant of the moving average of urgent tasks' sizes. */
export const sizeAveragingTime: Milliseconds = 5_000;
/** A service counts as one with gangs for this long after its last one: gangs of a queue come seconds apart. */
export const gangMemory: Milliseconds = 60_000;
/** While more than this share of a service's processors is free, no headroom is kept: urgent tasks that do not fit lack something else. */
export const maxFreeShare = 0.35;
/** Upper bound of headroom as a share of a service's processors. */
export const maxHeadroomShare = 0.2;
/** A change of headroom is logged only if it is at least this many typical urgent tasks. */
export const minLoggedChange = 4;
/** A change of headroom is logged only if it is at least this share of the last logged headroom. */
export const minLoggedShare = 0.5;
/** Minimum interval between such log lines of a service. */
export const logInterval: Milliseconds = 500;
/** Runs of a service that one cycle preempts at most, so that their effect is seen before more are stopped. */
export const maxStopsPerCycle = 8;
