/** Fair sharing between organisations when demand exceeds capacity. */
export * from "./hand-in-rate.js";
export * from "./owed-first.js";
export * from "./types.js";
