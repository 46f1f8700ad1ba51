/** Times of shares, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Organisations are owed jobs by the second. */
export const rateWindow: Milliseconds = 1_000;
