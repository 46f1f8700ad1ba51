/** Which scheduler owns each shard, and calls to it. */
export * from "./owner-directory.js";
