/** The decisions under load and faults, measured. */
export * from "./decisions.js";
export * from "./live.js";
export * from "./packing.js";
export * from "./situations.js";
export * from "./table.js";
