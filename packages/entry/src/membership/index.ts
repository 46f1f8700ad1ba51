/** Who belongs to the cell: entry VMs and the owner, by leased keys of the store. */
export * from "./followed-keys.js";
export * from "./registration.js";
export * from "./view.js";
