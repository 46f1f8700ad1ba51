/** What is placed where, what room is kept, and who gives way. */
export * from "./placer.js";
export * from "./preemption.js";
export * from "./reservations.js";
