/** Decisions for when there is more work than room. Each is made from what is passed in, and reaches nothing outside. */
export * from "./hold-back.js";
export * from "./organisation-limits.js";
