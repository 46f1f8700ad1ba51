/** Migration of runs away from workers that are slow or about to leave. */
export * from "./mover.js";
