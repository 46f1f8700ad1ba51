/** Times and shares of headroom that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Urgent demand that has fallen is reckoned with for about this long: bursts come back, and room takes seconds to come free. */
export const demandMemory: Milliseconds = 4_000;
/** The size of a usual urgent task is learned over about this time. */
export const sizeMemory: Milliseconds = 5_000;
/**
 * With more than this share of a service's processors free nothing is kept: it is not room that is short, and a service that is
 * half idle while work waits serves nobody.
 */
export const mostFreeShare = 0.35;
/** Most that is kept, as a share of a service's processors. */
export const mostKeptShare = 0.2;
/** Most runs of a service that one pass stops for urgent work: what they free is seen before more are stopped. */
export const mostStops = 8;
