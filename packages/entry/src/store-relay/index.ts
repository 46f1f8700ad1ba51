/** Access to the platform's store through other VMs. */
export * from "./operations.js";
export * from "./relayed-store.js";
