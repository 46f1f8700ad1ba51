/** Links of this VM to workers. */
export * from "./constants.js";
export * from "./links.js";
export * from "./loss-watch.js";
export * from "./vm-session.js";
export * from "./worker-link.js";
