/** Simulation of a cell whose workers may restart under their ids. */
export * from "./behaviour.js";
export * from "./run-history.js";
export * from "./simulated-closures.js";
export * from "./simulated-network.js";
export * from "./simulated-worker.js";
export * from "./simulation-world.js";
