/** What a front does for callers. */
export { authenticateCaller as checkCaller, type CallerAuthentication as CallerCheck } from "./caller-check.js";
export * from "./job-service.js";
export * from "./request-log.js";
export * from "./types.js";
