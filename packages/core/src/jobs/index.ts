/** Job submissions, and jobs as callers see them. */
export * from "./schema.js";
export * from "./types.js";
