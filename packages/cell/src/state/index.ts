/** State of a cell's owner: jobs, steps, tasks, runs and workers, and the journal records that change them. */
export * from "./cell-context.js";
export { fullPace } from "./constants.js";
export * from "./definition.js";
export * from "./entities.js";
export * from "./job-table.js";
export * from "./outbox.js";
export * from "./records.js";
export * from "./step-permits.js";
export * from "./strikes.js";
export * from "./worker-state.js";
