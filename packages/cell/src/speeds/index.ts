/** How fast workers are. */
export * from "./equal-speeds.js";
export * from "./types.js";
