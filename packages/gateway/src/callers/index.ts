/** The callers' HTTP interface. */
export * from "./caller-server.js";
export * from "./jobs.js";
export * from "./replies.js";
export * from "./services.js";
