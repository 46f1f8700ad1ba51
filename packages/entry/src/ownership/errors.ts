/** Errors of campaigning for the cell. */

/** Thrown when a claim is given up: another VM was faster, or this one reaches too few of the others. */
export class ClaimAbandonedError extends Error {
    override readonly name = "ClaimAbandonedError";
}
