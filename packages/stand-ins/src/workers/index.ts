/** Stand-ins for workers: they run simulated tasks under leases, serve live requests and inject faults. */
export * from "./fleet-stand-in.js";
export * from "./task-table.js";
export * from "./worker-stand-in.js";
