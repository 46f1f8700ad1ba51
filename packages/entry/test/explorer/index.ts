/** Exploration of cells under crashes and restarts of workers, lost and late calls, and changes of owner. */
export * from "./choices.js";
export * from "./explorer.js";
export * from "./rules.js";
export * from "./scenarios.js";
export * from "./walk.js";
