/** Report of the service-level burn, as data and as an HTML page. */
export * from "./fetch.js";
export * from "./page.js";
