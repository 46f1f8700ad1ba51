/** Pacing of filler tasks beside latency-sensitive ones. */
export * from "./filler-pace-controller.js";
