/** Proofs: tests of the system's guarantees, with real processes and injected faults. */
export * from "./proofs/index.js";
export * from "./run-proof.js";
export * from "./types.js";
