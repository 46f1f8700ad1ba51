/** Local copies of data in the platform's store: workers' entries, the configuration, the keys of entry VMs. */
export * from "./constants.js";
export * from "./follow-loop.js";
export * from "./limits.js";
export * from "./store-probe.js";
