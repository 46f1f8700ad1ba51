/** The decisions under load and faults, measured. */
export * from "./decisions.js";
export * from "./figures.js";
export * from "./live.js";
export * from "./packing.js";
export * from "./situations.js";
