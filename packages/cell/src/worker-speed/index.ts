/** Estimates of workers' speeds. */
export * from "./speed-estimator.js";
export * from "./types.js";
