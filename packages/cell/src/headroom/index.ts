/** Room for urgent work of few cores beside patient work that fills its service. */
export * from "./peak-demand.js";
export * from "./types.js";
export * from "./urgent-headroom.js";
