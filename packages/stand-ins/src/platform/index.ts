/** Stand-in of the platform: key-value service and list of VMs, with outages, slowness and lost answers. */
export * from "./memory-store.js";
export * from "./platform-stand-in.js";
