/** The newest version of the operators' configuration that this VM has seen. */
export * from "./configuration-watch.js";
export * from "./owner-confirmation.js";
