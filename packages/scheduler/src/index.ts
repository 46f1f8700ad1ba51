/** Public interface of the scheduler package. */
export { runScheduler } from "./scheduler.js";
