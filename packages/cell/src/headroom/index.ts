/** Room for urgent work of few cores beside patient work that fills its service. */
export * from "./no-headroom.js";
export * from "./types.js";
