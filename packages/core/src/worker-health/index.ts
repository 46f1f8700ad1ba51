/** Tells workers at fault from jobs at fault. */
export * from "./worker-health.js";
