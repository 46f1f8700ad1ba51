/** The operators' tree of settings: INI text, a schema, inheritance, differences and findings with their place. */
export * from "./definitions.js";
export * from "./diff.js";
export * from "./ini-document.js";
export * from "./schema.js";
export * from "./shard-settings.js";
export * from "./stored.js";
export * from "./tree.js";
export * from "./types.js";
