/** Placement of ready steps: orders, reservations and preemption. */
export * from "./placer.js";
export * from "./plan-preemptor.js";
export * from "./reservations.js";
