/** Exports the scheduler program, so that the evidence package can run it in its own process. */
export { runScheduler } from "./scheduler.js";
