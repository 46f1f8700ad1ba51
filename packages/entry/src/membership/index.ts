/** Membership of the cell: entry VMs and the owner, each a key in the store that hangs on a lease. */
export * from "./cell-view.js";
export * from "./key-follow-source.js";
export type { EntryVm, OwnerEntry } from "./member-entries.js";
export * from "./owner-placement.js";
export * from "./vm-registration.js";
