/** The owner of a cell: scheduling, worker links and callers' requests. */
export * from "./assignments.js";
export * from "./constants.js";
export * from "./cycle-pacer.js";
export * from "./owner-session.js";
export * from "./successor.js";
export * from "./turn-runner.js";
export * from "./types.js";
export * from "./vm-link.js";
export * from "./worker-report-handler.js";
