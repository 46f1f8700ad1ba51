/** Settings of an entry VM. */
export * from "./reload.js";
export * from "./types.js";
