/** A cell of real processes and stand-ins on loopback, used by the demo, the proofs and the capacity program. */
export * from "./caller.js";
export * from "./cell.js";
export * from "./managed-process.js";
export * from "./settings-files.js";
