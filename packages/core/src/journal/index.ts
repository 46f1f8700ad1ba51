/** Journal of a shard, stored in the platform's key-value service. */
export * from "./errors.js";
export { Journal, type JournalDependencies } from "./journal.js";
export { openJournal, type OpenJournal } from "./open.js";
export * from "./types.js";
