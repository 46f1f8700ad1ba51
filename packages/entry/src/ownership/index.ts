/** Campaigning for the cell and owning it. */
export * from "./campaign.js";
export * from "./candidate.js";
export * from "./constants.js";
export * from "./owner-key.js";
