/** What a front does for callers. */
export * from "./job-service.js";
