/** Fair sharing between organisations when demand exceeds capacity. */
export * from "./submission-rate.js";
export * from "./entitled-first.js";
export * from "./types.js";
