/** Times of the links to workers, in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * A start or stop without an answer by then is settled by a look, whatever earlier answers took. A worker answers in a few
 * milliseconds.
 */
export const maxAnswerTimeout: Milliseconds = 400;
/** No answer is taken for lost before this: a pause of this VM's process takes up to a tenth of a second. */
export const minAnswerTimeout: Milliseconds = 120;
/** A look that does not wait has failed without an answer by then. */
export const pollTimeout: Milliseconds = 500;
/** How long a look waits for an end. The workers' protocol allows two seconds at most. */
export const pollWait: Milliseconds = 600;
/**
 * The same at a worker where nothing is at work: no end is to be seen there.
 */
export const idlePollWait: Milliseconds = 2_000;
/** A worker counts as idle after this: a start is settled by then, and what it runs is seen. Five usual looks. */
export const idleAfter: Milliseconds = 3_000;
/** The same while answers are being lost: for so long no end is seen at a worker whose answer was lost. */
export const lossyPollWait: Milliseconds = 200;
/** Answers are taken to be lost now and then for this long after the last one that was. */
export const lossWindow: Milliseconds = 5_000;
/** Least time between two looks: a worker that does not wait as it was asked to is not asked without pause. */
export const minPollInterval: Milliseconds = 4;
/** Wait before a worker that did not answer is asked again. */
export const retryDelay: Milliseconds = 120;
/**
 * The same while an order of the link that got no answer may still be carried out. Should the worker have crashed, its next life takes that
 * order unless it has heard of a higher token first: it hears of one 20 ms after its start, 120 ms with the longer wait (tests' time).
 */
export const lateOrderRetryDelay: Milliseconds = 20;
/** An order that got no answer may be carried out for so long. */
export const lateOrderWindow: Milliseconds = 12_000;
/** The owner is told how far the runs are at most this often. */
export const progressInterval: Milliseconds = 500;
/** After ends were reported, the next look waits this long at most for the owner's word that they are kept. */
export const acknowledgementTimeout: Milliseconds = 150;
/**
 * A worker that answered this long ago is taken for the same life still: the wait for the owner's word and two retries of a call. A process
 * takes longer to end, to start and to run something to its end.
 */
export const sameIncarnationWindow: Milliseconds = 200;
/**
 * Links give no further leases this long after they last heard that the owner owns the cell. Four beats: a take-over
 * takes about as long, and what runs has most of its lease left.
 */
export const ownerSilenceLimit: Milliseconds = 1_000;
/**
 * After this process may have been suspended, messages of the owner that are read within this time may have been sent before. More
 * than its beats are apart, so that at the latest the second one counts.
 */
export const staleMessageWindow: Milliseconds = 300;
/**
 * Leases at a worker that leaves are at most this long. Nothing but the end of its leases proves that what was on it when it left
 * is over. Three times the longest time for which renewals stay out while an owner is replaced.
 */
export const leavingLeaseLength: Milliseconds = 3_000;
/** A worker's clock may run this much slower than ours (the workers' protocol says 2%). */
export const maxClockDrift = 0.02;
/** An order to pace a run is given at most this often. */
export const maxPaceAttempts = 4;
