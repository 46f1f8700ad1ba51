/** The scheduler program, for the evidence package. */
export { runScheduler } from "./scheduler.js";
