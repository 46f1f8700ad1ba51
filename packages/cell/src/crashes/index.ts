/** Detection of tasks that crash their workers: strikes, isolated trials, and giving up. */
export { riskCost } from "./constants.js";
export * from "./crash-monitor.js";
export * from "./judgement.js";
export * from "./silence-history.js";
export * from "./types.js";
