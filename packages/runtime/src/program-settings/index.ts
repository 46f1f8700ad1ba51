/** Settings files of the programs: INI text validated against a schema. */
export * from "./load.js";
export * from "./schema.js";
