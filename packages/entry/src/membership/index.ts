/** Membership of the cell: entry VMs and the owner, each a key in the store that hangs on a lease. */
export * from "./followed-keys.js";
export * from "./registration.js";
export * from "./view.js";
