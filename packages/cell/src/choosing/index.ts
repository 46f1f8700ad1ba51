/** What decisions are made from: the order of steps, when runs end, when room opens, which workers may take a step. */
export { stopDuration as stopTime } from "./constants.js";
export * from "./expected-end.js";
export * from "./room-forecast.js";
export * from "./room-index.js";
export * from "./room-plan.js";
export * from "./urgency.js";
export * from "./worker-choice.js";
