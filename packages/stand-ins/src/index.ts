/** Stand-ins of the outside systems, for tests and evidence only. */
export * from "./audit/index.js";
export * from "./platform/index.js";
export * from "./relay/index.js";
export * from "./workers/index.js";
