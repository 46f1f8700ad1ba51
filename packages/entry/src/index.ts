/** The program of an entry VM: front end for callers, links to workers, and the owner of the cell. */
export * from "./configuration/index.js";
export * from "./data-halls/index.js";
export * from "./entry-process.js";
export * from "./following/index.js";
export * from "./front-end/index.js";
export * from "./links/index.js";
export * from "./membership/index.js";
export * from "./observability/index.js";
export * from "./owner/index.js";
export * from "./ownership/index.js";
export * from "./peers/index.js";
export * from "./protocol/index.js";
export * from "./settings/index.js";
export * from "./shutdown-times.js";
export * from "./store-relay/index.js";
