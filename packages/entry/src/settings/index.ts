/** Settings of an entry VM. */
export * from "./regions.js";
export * from "./settings-reloader.js";
export * from "./types.js";
