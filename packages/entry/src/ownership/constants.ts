/** Times of campaigning for the cell, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Time between two looks at whether this VM is to claim the cell. */
export const campaignInterval: Milliseconds = 50;
/** Each VM that stands before this one in the order of candidates makes it wait this long more. */
export const candidateDelay: Milliseconds = 120;
/** While an owner was heard this lately, a missing key is its own to renew. */
export const ownerHeardLately: Milliseconds = 1_000;
/** Wait after a failed claim. */
export const claimRetryDelay: Milliseconds = 300;
/** How long the owner's key outlives its last renewal. */
export const ownerLease: Milliseconds = 2_000;
/** How long a stopping owner waits for the next one to speak. */
export const handOverWait: Milliseconds = 1_500;
