/** Shares of organisations when the room is not enough for all. */
export * from "./hand-in-rate.js";
export * from "./owed-first.js";
export * from "./types.js";
