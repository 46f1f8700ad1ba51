/** How long tasks really take, learned by queue. */
export * from "./estimated-times.js";
export * from "./types.js";
