/** Preemption of runs by more urgent work. */
export * from "./run-stopper.js";
export * from "./yield-policy.js";
