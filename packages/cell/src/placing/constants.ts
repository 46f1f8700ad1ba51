/** Times, sizes and weights of placing that are not settings. Times are in milliseconds. */
/** Runs are stopped for a step only if that gives it its room this much earlier, in milliseconds. */
export const minPreemptionGain = 600;
/**
 * A gang that wants one rack waits this long for one with room for all of it, then is spread: that takes 1.5 to 2 times
 * as long, about what a mean gang of some seconds loses by waiting longer.
 */
export const rackTimeout = 1_500;
/** Room is kept for wide tasks that wait for longer than this, in milliseconds: others find theirs in the same turn. */
export const wideTaskReservationDelay = 100;
/** Most steps that room of several workers is kept for at once: one for each this many workers. */
export const workersPerReservation = 12;
/** Fewest steps that room may be kept for at once. */
export const minReservations = 2;
/** Once room is kept on this share of the workers, no more is: what waits behind would leave the cell idle. */
export const maxReservedShare = 0.3;
/** Most steps for which room is looked for in a pass, for each that room is kept for: looking costs the most of a pass. */
export const attemptsPerReservation = 4;
/** A plan for room stands this long, then it is made anew: runs there have taken longer than expected. */
export const planLifetime = 3_000;
