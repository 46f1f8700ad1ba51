/** Preemption of runs by more urgent work. */
export * from "./preemption-policy.js";
export * from "./run-preemptor.js";
