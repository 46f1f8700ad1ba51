/** A job's timeline, from the logs of several VMs. */
export * from "./format.js";
export * from "./read-files.js";
export * from "./timeline.js";
export * from "./types.js";
