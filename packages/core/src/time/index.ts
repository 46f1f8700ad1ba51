/** Clocks, and estimates based on them. */
export * from "./clock.js";
export * from "./milliseconds.js";
export * from "./remote-clock.js";
export * from "./response-time-estimator.js";
export * from "./suspension-detector.js";
