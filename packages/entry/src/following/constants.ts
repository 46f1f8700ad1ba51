/** Times of following the store, in milliseconds, and shares of the users' bounds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A call waits this share of the time within which a change must be acted on. The rest is for finding out that nobody is at the
 * other end any more, and for asking again.
 */
export const waitShare = 0.5;
/** An answer may stay out for this share of that time beyond the wait, however slow earlier ones were. */
export const slackShare = 0.2;
/** Longest wait in one call: the platform's store allows 30 s. */
export const longestFollowWait: Milliseconds = 20_000;
/** Least wait in one call: bounds the calls of a VM to a few a second, however strict the users are. */
export const shortestFollowWait: Milliseconds = 250;
/** No answer is taken for lost before this: a pause of this VM's process takes up to a tenth of a second. */
export const shortestSlack: Milliseconds = 250;
/** The slack is doubled with each call in a row that had no answer, up to this. A slow store answers in up to 0.4 s. */
export const maxSlack: Milliseconds = 1_500;
/** Wait of the call after one without an answer: it is to be known soon whether the store is heard again. */
export const retryWait: Milliseconds = 20;
/** Wait before a call that had no answer is made again. */
export const followRetryDelay: Milliseconds = 50;
/** The same once several in a row had none. */
export const repeatedRetryDelay: Milliseconds = 150;
/** Reading all has no answer by then: a page holds up to a megabyte, which takes 1.2 s where a VM has 7 Mbit/s. */
export const readAllTimeout: Milliseconds = 2_000;
/** The same is doubled with each failure in a row, up to this. */
export const maxReadAllTimeout: Milliseconds = 8_000;
