/** Limits on the start of ready work: deferral in favour of blocked gangs, and the limits of organisations. */
export * from "./gang-deferral.js";
export * from "./organisation-limits.js";
