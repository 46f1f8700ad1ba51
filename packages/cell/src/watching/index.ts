/** Monitoring of workers by the failures and the progress of their runs. */
export * from "./health-watch.js";
export * from "./progress-watch.js";
export { paceOfDone } from "./run-paces.js";
