/** What an entry VM tells of itself besides its answers: counters, latencies, and when something it needs is lost. */
export * from "./dependency-watch.js";
export * from "./entry-metrics.js";
export * from "./measured-logger.js";
export * from "./measured-workers.js";
