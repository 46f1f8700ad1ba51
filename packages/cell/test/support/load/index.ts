/** Replays of load patterns on virtual time: the real scheduler runs on simulated workers, and callers' results are measured. */
export * from "./crowded-patterns.js";
export * from "./generate-jobs.js";
export * from "./kiosk-patterns.js";
export * from "./outcome.js";
export * from "./pattern.js";
export * from "./patterns.js";
export * from "./replay.js";
