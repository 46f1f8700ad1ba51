/** Decisions of a cell's owner: jobs made of steps, on workers that are leased and fenced. */
export * from "./cell-scheduler.js";
export * from "./cell-summary.js";
export * from "./timetable-watch.js";
