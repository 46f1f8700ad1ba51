/** Jobs as callers submit them and as they are answered. */
export * from "./schema.js";
export * from "./types.js";
