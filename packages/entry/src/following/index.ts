/** Following what the platform's store holds: workers' entries, the configuration, the keys of the entry VMs. */
export * from "./constants.js";
export * from "./follow-loop.js";
export * from "./limits.js";
export * from "./store-probe.js";
