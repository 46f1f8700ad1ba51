/** Shares of organisations when the room is not enough for all. */
export * from "./equal-standing.js";
export * from "./types.js";
