/** Errors that the journal throws. */

/** Thrown when another owner has sealed the journal, so that this process no longer owns the shard. */
export class JournalFencedError extends Error {
    override readonly name = "JournalFencedError";
}

/** Thrown when the journal's keys are inconsistent. The shard must not be served until an operator has intervened. */
export class JournalDamagedError extends Error {
    override readonly name = "JournalDamagedError";
}
