/** Upkeep of VMs in waves: the operators' requests, the platform's VM service and the planning of upkeep. */
export * from "./types.js";
export * from "./wave-planner.js";
