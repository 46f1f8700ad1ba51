/** The report on service-level burn. */
export * from "./fetch.js";
export * from "./page.js";
