/** Settings of an entry VM. */
export * from "./settings-reloader.js";
export * from "./types.js";
