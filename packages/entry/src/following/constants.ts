/** Times of following the store, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Longest wait in one call: the platform's store allows 30 s. */
export const followWait: Milliseconds = 20_000;
/** Wait before a call that had no answer is made again. */
export const followRetryDelay: Milliseconds = 150;
