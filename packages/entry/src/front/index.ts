/** What a front does for callers. */
export { type CallerCheck, checkCaller } from "./caller-check.js";
export * from "./job-service.js";
export * from "./request-log.js";
export * from "./types.js";
