/** The HTTP interface for callers. */
export * from "./caller-server.js";
export * from "./job-routes.js";
export * from "./send-error.js";
export * from "./service-routes.js";
