/** Owning shards: campaigning for them, and what an owner does while it has one. */
export * from "./constants.js";
export * from "./owned-shard.js";
export * from "./shard-candidate.js";
export * from "./types.js";
