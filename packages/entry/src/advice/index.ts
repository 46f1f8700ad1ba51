/** Questions to the advice service, dealt out over the VMs. */
export * from "./dispatcher.js";
