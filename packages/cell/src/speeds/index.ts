/** Estimates of workers' speeds. */
export * from "./speed-book.js";
export * from "./types.js";
