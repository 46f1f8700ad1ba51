/** Placement of tasks on workers: filter and score, over an index of free capacity. */
export * from "./fleet-index.js";
export * from "./policy.js";
export * from "./types.js";
