/** The owner of a cell. */
export * from "./owner-session.js";
