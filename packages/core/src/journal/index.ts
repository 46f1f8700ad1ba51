/** The journal of a shard in the platform's service. */
export * from "./errors.js";
export * from "./journal.js";
export * from "./types.js";
