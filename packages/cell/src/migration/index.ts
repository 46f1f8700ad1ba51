/** Migration of runs away from workers that are slow or about to leave. */
export * from "./run-migrator.js";
