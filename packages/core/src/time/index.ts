/** Clocks, and estimates based on them. */
export * from "./answer-times.js";
export * from "./clock.js";
export * from "./gap-watch.js";
export * from "./milliseconds.js";
