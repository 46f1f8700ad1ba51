/** Simulation of a cell whose workers may restart under their ids. */
export * from "./behaviour.js";
export * from "./machine.js";
export * from "./network.js";
export * from "./record.js";
export * from "./world.js";
