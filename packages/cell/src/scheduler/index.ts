/** The scheduler of a cell: runs jobs made of steps on leased and fenced workers. */
export * from "./cell-scheduler.js";
export * from "./cell-summary.js";
export * from "./occurrence-timer.js";
