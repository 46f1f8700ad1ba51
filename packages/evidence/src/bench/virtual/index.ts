/** Simulation of a shard in virtual time: the real scheduler with a simulated journal, network and workers. */
export * from "./virtual-cell.js";
export * from "./virtual-clock.js";
export * from "./virtual-worker.js";
