/** Constants of reopened data halls. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** For this long after a reopening, the hall's workers are compared with others as one. */
export const recoveryTime: Milliseconds = 8_000;
/** Comparisons needed before an estimate is used. */
export const minComparisons = 3;
/** Newest comparisons that an estimate is the median of, so that it follows workers that become faster. */
export const maxComparisons = 31;
/** A hall counts as slow from this slowness on: other runs on a worker have less effect. */
export const slowFrom = 1.5;
/** A slow hall no longer counts as such below this slowness. Lower than {@link slowFrom}, so that a hall between them does not alternate. */
export const slowUntil = 1.2;
