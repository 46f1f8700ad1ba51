/** The operators' configuration of a cell: queues, services and limits. */
export * from "./queue-directory.js";
export * from "./types.js";
