/** What runs tell of their workers: failures and progress. */
export * from "./health-watch.js";
export * from "./progress-watch.js";
export { paceOfDone } from "./run-paces.js";
