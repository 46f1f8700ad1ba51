/** Preemption of runs by more urgent work. */
export * from "./run-preemptor.js";
export * from "./preemption-policy.js";
