/** Scheduling logic of a shard's owner: jobs, queue, workers, leases and service slots. Performs no I/O and sets no timers. */
export * from "./constants.js";
export * from "./job-registry.js";
export * from "./lease-policy.js";
export * from "./pending-queue.js";
export * from "./records.js";
export * from "./settings.js";
export * from "./shard-context.js";
export * from "./shard-scheduler.js";
export * from "./size.js";
export * from "./slot-ledger.js";
export * from "./types.js";
export * from "./worker-table.js";
