/** Replays of load on virtual time: a pattern is drawn, the real decisions are driven over it, callers' view is measured. */
export * from "./draw.js";
export * from "./kiosk-patterns.js";
export * from "./outcome.js";
export * from "./pattern.js";
export * from "./patterns.js";
export * from "./replay.js";
