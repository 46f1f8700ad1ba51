/** Stand-ins of workers: run tasks under leases, serve live requests, and fail when told to. */
export * from "./fleet-stand-in.js";
export * from "./task-table.js";
export * from "./worker-stand-in.js";
