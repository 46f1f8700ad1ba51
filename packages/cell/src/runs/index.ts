/** Runs and the workers that have them. Only this module changes the phase of a run. */
export * from "./run-lifecycle.js";
export * from "./types.js";
export * from "./worker-pool.js";
