/** Public interface of the gateway package. */
export * from "./callers/index.js";
export { runGateway } from "./gateway.js";
export * from "./live/index.js";
export * from "./owners/index.js";
