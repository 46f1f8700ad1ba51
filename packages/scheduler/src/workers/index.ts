/** Messages between an owner and its workers. */
export * from "./worker-link.js";
