/** Sizes, intervals and timeouts that are not configurable. Durations are in milliseconds. */

/** Number of store keys in the ring that a journal writes its segments to. */
export const journalRingSize = 256;
/** Number of segments after which the journal writes a snapshot that replaces them. */
export const segmentsPerSnapshot = 64;
/** Maximum size of a journal segment or snapshot part in bytes, well below the limit of the platform's store. */
export const maxJournalValueBytes = 700_000;
/** Delay before a failed journal write is retried. */
export const journalRetryDelay = 100;
/** Delay before claiming a shard, per shard already owned, so that the shards spread over the schedulers. */
export const claimDelayPerShard = 300;
/** Delay before a failed claim is retried. */
export const claimRetryDelay = 500;
/** Maximum duration of one watch on the key of a shard's owner. */
export const maxOwnerWatch = 10_000;
/** Number of renewals per duration of the lease on a shard. */
export const renewalsPerLease = 3;
/** Interval at which leases, deadlines, retries and retention are checked. */
export const tickInterval = 100;
/** Delay before an unanswered message to a worker is sent again. */
export const workerRetryDelay = 100;
/** Time within which a record must be committed; after it the caller receives `not-recorded`. */
export const commitTimeout = 2_000;
/** New jobs are refused once the journal has gone without an answer from the platform for this long. */
export const journalStallThreshold = 500;
/** Retry delay given to callers whose request could not be recorded. */
export const journalStalledRetryAfter = 2_000;
