/** Upkeep of VMs in waves: what operators ask for, the platform's service that does it, and the order of the VMs. */
export * from "./types.js";
export * from "./wave-planner.js";
