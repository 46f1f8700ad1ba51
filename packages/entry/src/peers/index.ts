/** Connections between entry VMs. */
export * from "./connections.js";
export * from "./vm-dialer.js";
