/** The gateway program and its parts that tests reach. */
export * from "./callers/index.js";
export { runGateway } from "./gateway.js";
export * from "./live/index.js";
export * from "./owners/index.js";
