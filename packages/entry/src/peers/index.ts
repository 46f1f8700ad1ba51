/** Connections among entry VMs. */
export * from "./server.js";
