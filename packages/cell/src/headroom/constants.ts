/** Times and shares of headroom that are not settings. Times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Urgent demand that has fallen is reckoned with for about this long: bursts come back, and room takes seconds to come free. */
export const demandDecayTime: Milliseconds = 4_000;
/** The size of a usual urgent task is learned over about this time. */
export const sizeAveragingTime: Milliseconds = 5_000;
/**
 * With more than this share of a service's processors free nothing is kept: it is not room that is short, and a service that is
 * half idle while work waits serves nobody.
 */
export const maxFreeShare = 0.35;
/** Most that is kept, as a share of a service's processors. */
export const maxHeadroomShare = 0.2;
/** A change of the room that is kept is logged from this many usual urgent tasks on. */
export const minLoggedChange = 4;
/** It is logged from this share of what was logged last on. */
export const minLoggedShare = 0.5;
/** It is logged at most this often for a service, in milliseconds. */
export const logInterval: Milliseconds = 500;
/** Most runs of a service that one pass stops for urgent work: what they free is seen before more are stopped. */
export const maxStopsPerCycle = 8;
