/** The protocol between gateways, schedulers and operators: trpc over WebSocket. */
export * from "./client.js";
export * from "./router.js";
export * from "./server.js";
export * from "./types.js";
