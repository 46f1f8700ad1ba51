/** What a front does for callers. */
export * from "./job-service.js";
export * from "./request-log.js";
export * from "./types.js";
