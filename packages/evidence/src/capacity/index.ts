/** Cost per worker, task, job, heartbeat and request, for capacity planning. */
export * from "./decision-slopes.js";
export * from "./process-slopes.js";
export * from "./types.js";
