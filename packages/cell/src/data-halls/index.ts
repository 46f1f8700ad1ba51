/** Data halls: their closures by the operators. */
export * from "./closed-halls.js";
export * from "./hall-recovery.js";
export * from "./types.js";
