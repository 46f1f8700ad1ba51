/** The life of runs, and the workers that they are at: the one place that changes a run's phase. */
export * from "./run-book.js";
export * from "./types.js";
export * from "./worker-pool.js";
