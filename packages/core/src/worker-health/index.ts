/** Detection of failing workers. */
export * from "./worker-health.js";
