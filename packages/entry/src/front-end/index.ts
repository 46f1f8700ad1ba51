/** Front end of an entry VM: authenticates callers and answers their requests with the help of the owner. */
export { authenticateCaller, type CallerAuthentication } from "./caller-authentication.js";
export * from "./job-service.js";
export * from "./owner-waiters.js";
export * from "./request-log.js";
export * from "./types.js";
