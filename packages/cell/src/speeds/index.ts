/** How fast workers are. */
export * from "./speed-book.js";
export * from "./types.js";
