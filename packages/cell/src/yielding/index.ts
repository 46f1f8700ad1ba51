/** Which runs give way to more urgent work, and how. */
export * from "./run-stopper.js";
export * from "./yield-policy.js";
