/** Which jobs are taken in when not all can be served. */
export * from "./admit-all.js";
export * from "./types.js";
