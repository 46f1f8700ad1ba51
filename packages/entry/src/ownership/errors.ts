/** Errors of campaigning for the cell. */

/** Thrown when a claim is abandoned because another VM was first, this one is isolated, or the process is stopping. */
export class ClaimAbandonedError extends Error {
    override readonly name = "ClaimAbandonedError";
}
