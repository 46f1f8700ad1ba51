/** Virtual time and small fakes at the interfaces of the decisions. */
export * from "./virtual-cell.js";
export * from "./virtual-clock.js";
export * from "./virtual-worker.js";
