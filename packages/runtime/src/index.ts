/** Code that the programs share, such as adapters of external systems, logs, metrics and settings files. */
export * from "./abort/index.js";
export * from "./administration/index.js";
export * from "./burn/index.js";
export * from "./http-json/index.js";
export * from "./logging/index.js";
export * from "./metrics/index.js";
export * from "./platform-http/index.js";
export * from "./process/index.js";
export * from "./program-settings/index.js";
export * from "./protocol/index.js";
export * from "./settings-watch/index.js";
export * from "./sharding/index.js";
export * from "./vm-list-http/index.js";
export * from "./worker-http/index.js";
