/** Sessions of entry VMs with the owner, and their links to workers. */
export * from "./constants.js";
export * from "./loss-monitor.js";
export * from "./vm-session.js";
export * from "./worker-link.js";
export * from "./worker-links.js";
