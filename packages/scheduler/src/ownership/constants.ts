/** Times and sizes of ownership that are not settings. All times in milliseconds. */

/** Keys of a journal's ring. */
export const journalRingSize = 256;
/** Segments after which a snapshot replaces them. */
export const segmentsPerSnapshot = 64;
/** Largest value that the journal writes, well below the platform's limit. */
export const maxJournalValueBytes = 700_000;
/** Wait before a write without an answer is settled. */
export const journalRetryDelay = 100;
/** Each shard that a scheduler owns already makes it wait this long before it claims another. */
export const claimDelayPerShard = 300;
/** Wait before a failed claim is tried again. */
export const claimRetryDelay = 500;
/** Longest wait in one watch of a shard's owner. */
export const maxOwnerWatch = 10_000;
/** A lease is renewed this many times in its length. */
export const renewalsPerLease = 3;
/** Time between two looks at what time asks for. */
export const tickInterval = 100;
/** Wait before a message without an answer is sent to a worker again. */
export const workerRetryDelay = 100;
/** How long a record may take before its caller is told that it is not known to be kept. */
export const commitTimeout = 2_000;
/** A journal that has not been answered for this long takes no new work. */
export const journalStallThreshold = 500;
/** When a caller that was refused for a stalled journal is to come back. */
export const journalStalledRetryAfter = 2_000;
