/** Decisions of a cell's owner: jobs made of steps, on workers that are leased and fenced. */
export * from "./cell-context.js";
export * from "./cell-scheduler.js";
export * from "./cell-summary.js";
export * from "./definition.js";
export * from "./entities.js";
export * from "./job-table.js";
export * from "./outbox.js";
export * from "./records.js";
export * from "./worker-state.js";
