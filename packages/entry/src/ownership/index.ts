/** Election of a cell's owner. */
export * from "./campaign.js";
export * from "./candidate.js";
export * from "./constants.js";
export * from "./owner-key.js";
