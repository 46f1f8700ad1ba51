/** Errors of the journal. */

/** Thrown when another owner has sealed the journal: this process no longer owns the shard. */
export class JournalFencedError extends Error {
    override readonly name = "JournalFencedError";
}

/** Thrown when the journal's keys do not fit together: nothing may be placed before an operator has looked. */
export class JournalDamagedError extends Error {
    override readonly name = "JournalDamagedError";
}
