/** Fair sharing between organisations when demand exceeds capacity. */
export * from "./entitled-first.js";
export * from "./submission-rate.js";
export * from "./types.js";
