/** Detection of tasks that crash their workers: records strikes, runs suspect tasks in trials, and gives up tasks at fault. */
export { riskCost, sharedTrialCost } from "./constants.js";
export * from "./crash-monitor.js";
export * from "./judgement.js";
export * from "./silence-history.js";
export * from "./trials.js";
export * from "./types.js";
