/** Constants of reopened data halls. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** For this long after a reopening, the hall's workers are compared with others as one. */
export const recoveryTime: Milliseconds = 8_000;
/** Comparisons needed before an estimate is used. */
export const minComparisons = 3;
/** Newest comparisons that an estimate is the median of, so that it follows workers that become faster. */
export const maxComparisons = 15;
/** Estimates below this are ignored: other runs on a worker have as much effect. */
export const minHallSlowness = 1.35;
