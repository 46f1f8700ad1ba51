/** Monitoring of workers by the failures and the progress of their runs. */
export * from "./health-monitor.js";
export { medianOf } from "./median.js";
export * from "./progress-monitor.js";
export { paceOfCompleted } from "./run-paces.js";
