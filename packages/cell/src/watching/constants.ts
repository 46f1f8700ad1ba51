/** Times, sizes and weights of the watches over workers that are not settings. Times are in milliseconds. */
import type { HealthLimits } from "@pebbledale/core";

/**
 * When a worker looks at fault. Its tasks are many and short, and a failed run costs one of the two or three that a
 * task has: two or three failures in a row are enough.
 */
export const workerLimits: HealthLimits = { rememberedOutcomes: 6, fewestFailures: 2, failingShare: 0.5 };
/** First time that a worker at fault takes nothing new; twice as long each further time in a row. */
export const firstQuarantine = 1_500;
/**
 * A worker that takes one run at a time after its quarantine takes more once it had nothing for this long: a gang that
 * needs it would wait for ever where no other work comes. Half of the three seconds in which work that fits has to start.
 */
export const probationLimit = 1_500;
/** Most doublings of a quarantine. */
export const quarantineDoublings = 3;
/** Most workers that are in quarantine at once, as a share of all. */
export const quarantineShare = 0.34;
/** Least time between two samples of a run's progress. A look reports it about twice a second. */
export const progressInterval = 300;
/** A run gets this long to get going before its progress counts: restoring saved progress takes up to 600 ms. */
export const startingTime = 300;
/** Fewest runs whose progress tells a worker's speed. */
export const fewestSpeedSamples = 4;
/**
 * A worker is slow when the middle one of its runs makes less progress than this share of what the callers' estimates
 * say. Estimates are off by up to a factor of two, the slowest sound workers by 1.3; slow ones are four times as slow.
 */
export const slowSpeed = 0.28;
/** A worker that was slow is taken for slow for this long after the last sample. */
export const slowFor = 1_500;
/** Most workers that are taken for slow at once, as a share of all. */
export const slowShare = 0.4;
