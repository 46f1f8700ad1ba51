/** Workers that run tasks under fencing tokens and leases, as the product sees them. */
export * from "./types.js";
