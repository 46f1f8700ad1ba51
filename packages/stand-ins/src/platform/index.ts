/**
 * Stand-in for the platform: an in-memory key-value service and VM list with injectable outages, delays and lost
 * responses.
 */
export * from "./memory-store.js";
export * from "./platform-stand-in.js";
