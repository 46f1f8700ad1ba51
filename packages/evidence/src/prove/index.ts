/** Proofs of the brief's points with real processes under failure. */
export * from "./proofs/index.js";
export * from "./run-proof.js";
export * from "./types.js";
