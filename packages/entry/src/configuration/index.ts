/** The operators' configuration as known to this VM. */
export * from "./watch.js";
