/** Parts of the command line that are exported for tests. */
export * from "./job-log/index.js";
export * from "./output/index.js";
export * from "./report/index.js";
