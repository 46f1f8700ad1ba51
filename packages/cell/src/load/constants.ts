/** Times and shares of decisions on load that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A gang that found no room for this long is short of it: with one question to the advice service, which takes up to 0.9 s,
 * others have started.
 */
export const blockedGangDelay: Milliseconds = 1_500;
/**
 * With more than this share of a service's processors free nothing is held back: it is not room that is short, and a cell that
 * is half idle while work waits serves nobody.
 */
export const maxFreeShare = 0.35;
/**
 * Nothing is held back either with more than this share of a service's processors free, however few places a gang finds: work that
 * waits while much of its service idles is owed a start (the users' rules).
 */
export const maxIdleShare = 0.45;
/**
 * A gang that its organisation's limit has no place for waits this long, in milliseconds; then what is less urgent of the same organisation
 * starts nothing, so that the limit gets free. A mean gang takes some seconds: by then some of that work has ended by itself.
 */
export const limitWaitTime: Milliseconds = 1_000;
/**
 * Patient work fills this share of its organisation's limit at most: one job of many tasks would fill all of it for seconds, and urgent jobs
 * of the same organisation, which take less than one, would wait behind it.
 */
export const deferrableShare = 0.8;
/**
 * Below this share of its limit an organisation's work never waits for the sake of its other work: the users take a job for lost that has nothing at
 * work for three seconds while its organisation has less than half of its limit.
 */
export const unrestrictedShare = 0.5;
