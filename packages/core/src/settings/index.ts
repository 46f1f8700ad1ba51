/** The operators' settings tree: INI parsing, schema, inheritance, comparison, validation and storage. */
export * from "./definitions.js";
export * from "./diff.js";
export * from "./ini-document.js";
export * from "./schema.js";
export * from "./shard-settings.js";
export * from "./stored.js";
export * from "./tree.js";
export * from "./types.js";
