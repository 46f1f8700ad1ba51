/** Questions to the advice service: about which steps and workers, and through which VMs. */
export * from "./advice-desk.js";
export * from "./advice-dispatcher.js";
