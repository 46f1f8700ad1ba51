/** Interface to workers that run tasks under fencing tokens and leases. */
export * from "./types.js";
