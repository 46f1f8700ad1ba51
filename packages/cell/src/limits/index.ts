/** Admission of ready work when demand exceeds capacity. */
export * from "./gang-deferral.js";
export * from "./organisation-limits.js";
