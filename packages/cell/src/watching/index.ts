/** What runs tell of their workers: failures and progress. */
export * from "./health-watch.js";
export * from "./progress-watch.js";
export { paceOfCompleted as paceOfDone } from "./run-paces.js";
