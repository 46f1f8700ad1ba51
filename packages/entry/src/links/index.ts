/** Sessions of entry VMs with the owner, and their links to workers. */
export * from "./constants.js";
export * from "./links.js";
export * from "./loss-watch.js";
export * from "./vm-session.js";
export * from "./worker-link.js";
