/** Evidence: the demo, the proofs and the benches. */
export * from "./cell/index.js";
export * from "./checks/index.js";
