/** Admission of ready work when demand exceeds capacity. */
export * from "./hold-back.js";
export * from "./organisation-limits.js";
