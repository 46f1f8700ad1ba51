/** The gateway program and its parts that tests reach. */
export { runGateway } from "./gateway.js";
export * from "./live/index.js";
