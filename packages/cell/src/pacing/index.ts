/** Pacing of filler tasks beside latency-sensitive ones. */
export * from "./pace-keeper.js";
