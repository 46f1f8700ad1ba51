/** Observability of an entry VM: metrics, and log events about the loss and return of dependencies. */
export * from "./dependency-monitor.js";
export * from "./entry-metrics.js";
export * from "./instrumented-logger.js";
export * from "./instrumented-worker-clients.js";
export * from "./traffic-account.js";
export * from "./traffic-log.js";
