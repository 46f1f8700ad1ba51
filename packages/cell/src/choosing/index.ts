/** Inputs of placement: the ranking of steps, expected ends of runs, forecasts of free resources and candidate workers. */
export { stopDuration as stopTime } from "./constants.js";
export * from "./expected-end.js";
export * from "./room-forecast.js";
export * from "./room-index.js";
export * from "./room-plan.js";
export * from "./urgency.js";
export * from "./worker-choice.js";
