/** Observability of an entry VM: metrics, and log events about the loss and return of dependencies. */
export * from "./dependency-watch.js";
export * from "./entry-metrics.js";
export * from "./measured-logger.js";
export * from "./measured-workers.js";
