/** Settings files of the programs: INI text checked by one schema. */
export * from "./load.js";
export * from "./schema.js";
