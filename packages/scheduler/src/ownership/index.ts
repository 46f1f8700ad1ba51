/** Owning shards: campaigning for them, and what an owner does while it has one. */
export * from "./candidate.js";
export * from "./constants.js";
export * from "./owned-shard.js";
export * from "./types.js";
