/** A cell of real processes on loopback, with the stand-ins, for the demo and the proofs. */
export * from "./caller.js";
export * from "./cell.js";
export * from "./managed-process.js";
export * from "./settings-files.js";
