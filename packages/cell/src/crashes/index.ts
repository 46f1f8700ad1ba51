/** Detection of tasks that crash their workers: records strikes, runs suspect tasks in isolated trials, and gives up tasks at fault. */
export { riskCost } from "./constants.js";
export * from "./crash-monitor.js";
export * from "./judgement.js";
export * from "./silence-history.js";
export * from "./types.js";
