/** Tuning constants of placement. Times are in milliseconds. */
/** Runs are preempted for a step only if it can start this much earlier that way. */
export const minPreemptionGain = 600;
/**
 * A gang that wants one rack waits this long for one that fits it, then is spread over several, where it takes 1.5 to 2 times as long: about
 * what a gang of some seconds would lose by waiting longer.
 */
export const rackTimeout = 1_500;
/** Resources are reserved for wide tasks once they have waited for this long. Others find theirs in the same cycle. */
export const wideTaskReservationDelay = 100;
/** One step for each this many workers of the cell may hold reservations on several workers. */
export const workersPerReservation = 12;
/** Lower bound of the number of steps that may hold reservations on several workers, for small cells. */
export const minReservations = 2;
/** No further reservations are made once this share of the workers is reserved, so that the cell does not idle. */
export const maxReservedShare = 0.3;
/** Plans computed in a cycle for each reservation allowed: planning is the most expensive part of a cycle. */
export const attemptsPerReservation = 4;
/** A plan is replaced after this long, as runs on its workers have taken longer than expected. */
export const planLifetime = 3_000;
