/** Connections between entry VMs. */
export * from "./server.js";
export * from "./vm-dialer.js";
