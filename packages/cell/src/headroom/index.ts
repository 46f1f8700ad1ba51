/** Headroom for urgent narrow work in services that deferrable work would fill. */
export * from "./peak-demand.js";
export * from "./types.js";
export * from "./urgent-headroom.js";
