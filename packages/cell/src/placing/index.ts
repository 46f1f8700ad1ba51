/** Placement of ready steps: orders, reservations and preemption. */
export * from "./placer.js";
export * from "./preemption.js";
export * from "./reservations.js";
