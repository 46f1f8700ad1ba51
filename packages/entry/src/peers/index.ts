/** Connections among entry VMs. */
export * from "./server.js";
export * from "./vm-dialer.js";
