/** Monitoring of workers by the failures and the progress of their runs. */
export * from "./health-watch.js";
export * from "./progress-watch.js";
export { paceOfCompleted as paceOfDone } from "./run-paces.js";
