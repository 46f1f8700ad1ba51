/** Explores cells whose workers crash and start again, whose calls are lost or late, and whose owners are replaced. */
export * from "./choices.js";
export * from "./explorer.js";
export * from "./rules.js";
export * from "./scenarios.js";
export * from "./walk.js";
