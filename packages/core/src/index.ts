/** Scheduling logic and interfaces that the other packages build on. Opens no sockets. */
export * from "./addresses/index.js";
export * from "./errors/index.js";
export * from "./ids/index.js";
export * from "./jobs/index.js";
export * from "./journal/index.js";
export * from "./json/index.js";
export * from "./log-events/index.js";
export * from "./placement/index.js";
export * from "./platform/index.js";
export * from "./random/index.js";
export * from "./resources/index.js";
export * from "./settings/index.js";
export * from "./shard/index.js";
export * from "./time/index.js";
export * from "./vm-list/index.js";
export * from "./worker-health/index.js";
export * from "./worker/index.js";
