/** The operators' configuration as known to this VM. */
export * from "./configuration-watch.js";
