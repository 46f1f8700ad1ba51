/** Tuning constants of admission. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** A gang that has been ready for this long and does not fit counts as blocked. The time covers one question to the advice service. */
export const blockedGangDelay: Milliseconds = 1_500;
/** Nothing is deferred while more than this share of a service's capacity for the blocked gang is free: capacity is not what is short then. */
export const maxFreeShare = 0.35;
/** Nothing is deferred either while more than this share of a service's processors is free: waiting work is entitled to start then. */
export const maxIdleShare = 0.45;
/**
 * Once a gang has been blocked by its organisation's limit for this long, less urgent work of the same organisation starts nothing until
 * enough of the limit is free.
 */
export const limitWaitTime: Milliseconds = 1_000;
/**
 * Share of an organisation's limit that all but the most urgent queues may use, so that urgent jobs do not wait for seconds behind one job
 * of many tasks.
 */
export const nonUrgentShare = 0.8;
/**
 * Below this share of its limit an organisation's work is never blocked in favour of its other work: a job counts as lost if nothing of it
 * runs for three seconds while its organisation uses less than half of its limit.
 */
export const unrestrictedShare = 0.5;
