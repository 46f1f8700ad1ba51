/** Parts of the command line that tests reach. */
export * from "./output/index.js";
export * from "./report/index.js";
