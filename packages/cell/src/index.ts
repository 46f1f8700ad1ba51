/** Public interface of the cell's scheduler, and the interfaces that a platform implements. */
export * from "./advice/index.js";
export { AdviceDispatcher, type AdviceRequester } from "./advising/index.js";
export * from "./configuration/index.js";
export type { CrashSummary } from "./crashes/index.js";
export type { HallChanges, HallClosures } from "./data-halls/index.js";
export * from "./fair-share/index.js";
export * from "./organisations/index.js";
export * from "./scheduler/index.js";
export * from "./state/index.js";
export * from "./task-worker/index.js";
export * from "./upkeep/index.js";
export * from "./worker-directory/index.js";
