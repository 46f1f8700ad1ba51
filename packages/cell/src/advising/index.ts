/** Questions to the advice service: about which steps and workers, and through which VMs. */
export * from "./advice-dispatcher.js";
export * from "./advice-planner.js";
