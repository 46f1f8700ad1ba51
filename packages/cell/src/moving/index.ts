/** Which runs are better off elsewhere. */
export * from "./mover.js";
