/** Inputs of placement: the ranking of steps, expected ends of runs, forecasts of free resources and candidate workers. */
export { stopDuration } from "./constants.js";
export * from "./expected-end.js";
export * from "./capacity-forecast.js";
export * from "./capacity-index.js";
export * from "./reservation-plan.js";
export * from "./ranking.js";
export * from "./candidates.js";
