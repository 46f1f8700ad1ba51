/** The operators' configuration on this VM. */
export * from "./watch.js";
