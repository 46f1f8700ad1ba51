/** Claiming shards and serving those that this process owns. */
export * from "./constants.js";
export * from "./owned-shard.js";
export * from "./shard-candidate.js";
export * from "./types.js";
