/** Organisations that share a cell: their callers' keys, their limits and their usage. */
export * from "./key-ring.js";
export * from "./types.js";
export * from "./usage-ledger.js";
