/** Stand-ins for the external systems (platform, network, workers), used only by tests and by the evidence package. */
export * from "./audit/index.js";
export * from "./platform/index.js";
export * from "./relay/index.js";
export * from "./workers/index.js";
