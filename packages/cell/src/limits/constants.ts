/** Tuning constants of gang deferral and organisation limits. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** A gang that has been ready for this long and does not fit counts as blocked. The time covers one question to the advice service, which takes up to 0.9 s. */
export const blockedGangDelay: Milliseconds = 1_500;
/**
 * While more than this share of a service's capacity for the blocked gang is free, nothing is deferred: something other than capacity blocks
 * the gang.
 */
export const maxFreeShare = 0.35;
/**
 * While more than this share of a service's processors is free, nothing is deferred, however few places a gang finds: the platform's rules owe
 * a start to work that waits while much of its service is idle.
 */
export const maxIdleShare = 0.45;
/**
 * Once a gang has been blocked by its organisation's limit for this long, less urgent work of the same organisation starts nothing until
 * enough of the limit is free. A gang runs for some seconds on average, so that part of the other work has ended by itself by then.
 */
export const limitWaitTime: Milliseconds = 1_000;
/**
 * Share of an organisation's limit that queues other than the most urgent ones may use, so that urgent jobs, which take
 * less than a second, do not wait for seconds behind one job of many tasks.
 */
export const nonUrgentShare = 0.8;
/**
 * While an organisation uses less than this share of its limit, none of its work is blocked in favour of its other work: a job that runs
 * nothing for three seconds while its organisation uses less than half of its limit counts as lost.
 */
export const unrestrictedShare = 0.5;
