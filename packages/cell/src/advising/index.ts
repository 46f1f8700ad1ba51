/** Questions to the advice service: about which steps and workers, and through which VMs. */
export * from "./advice-planner.js";
export * from "./advice-dispatcher.js";
