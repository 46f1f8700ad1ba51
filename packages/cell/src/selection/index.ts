/** Inputs of placement: the ranking of steps, expected ends of runs, forecasts of free resources and candidate workers. */
export * from "./candidates.js";
export * from "./capacity-forecast.js";
export * from "./capacity-index.js";
export { stopDuration } from "./constants.js";
export * from "./expected-end.js";
export * from "./ranking.js";
export * from "./reservation-plan.js";
