/** Proofs of the brief's points with real processes under failure. */
export * from "./proofs/index.js";
export * from "./runner.js";
export * from "./types.js";
