/** Connections from the owner of a shard to its workers. */
export * from "./worker-link.js";
