/** Slopes behind the capacity page: what one more worker, task, job, heartbeat or request costs. */
export * from "./decision-slopes.js";
export * from "./process-slopes.js";
export * from "./types.js";
