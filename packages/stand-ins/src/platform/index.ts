/** Stand-in of the platform: key-value service and list of VMs, with outages, slowness and lost answers. */
export * from "./server.js";
export * from "./store.js";
