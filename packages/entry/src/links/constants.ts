/** Times of the links to workers, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** A start or stop without an answer by then is settled by a look. A worker answers in a few milliseconds. */
export const orderLimit: Milliseconds = 400;
/** A look that does not wait has failed without an answer by then. */
export const lookLimit: Milliseconds = 500;
/** How long a look waits for an end. The workers' protocol allows two seconds at most. */
export const lookWait: Milliseconds = 1_500;
/** Least time between two looks: a worker that does not wait as it was asked to is not asked without pause. */
export const lookGap: Milliseconds = 4;
/** Wait before a worker that did not answer is asked again. */
export const retryDelay: Milliseconds = 120;
/** The owner is told how far the runs are at most this often. */
export const progressInterval: Milliseconds = 500;
/** After ends were reported, the next look waits this long at most for the owner's word that they are kept. */
export const acknowledgeWait: Milliseconds = 150;
/**
 * Links give no further leases this long after they last heard that the owner owns the cell. Four beats: a take-over
 * takes about as long, and what runs has most of its lease left.
 */
export const ownerHorizon: Milliseconds = 1_000;
/** A worker's clock may run this much slower than ours (the workers' protocol says 2%). */
export const clockDrift = 0.02;
/** An order to pace a run is given at most this often. */
export const paceAttempts = 4;
