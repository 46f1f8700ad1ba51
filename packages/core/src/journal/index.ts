/** The journal of a shard in the platform's service. */
export * from "./errors.js";
export { Journal, type JournalDependencies } from "./journal.js";
export { openJournal } from "./open.js";
export * from "./types.js";
