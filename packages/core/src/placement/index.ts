/** Finds workers for tasks: filter, then score, over an index of free capacity. */
export * from "./fleet-index.js";
export * from "./policy.js";
export * from "./types.js";
