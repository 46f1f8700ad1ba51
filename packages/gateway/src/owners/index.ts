/** Discovery of the shard owners and calls to them. */
export * from "./owner-directory.js";
