/** Timeouts, intervals and limits of worker links; times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/**
 * Maximum timeout of a start or stop, whatever earlier answer times were; an unanswered one is then resolved by a poll.
 * Workers usually answer within a few milliseconds.
 */
export const maxAnswerTimeout: Milliseconds = 400;
/** Minimum timeout of an answer, as this VM's process may pause for up to 0.1 s. */
export const minAnswerTimeout: Milliseconds = 120;
/** Timeout of a poll that does not wait for a run to end. */
export const pollTimeout: Milliseconds = 500;
/** How long a poll waits at the worker for a run to end. The worker protocol allows at most two seconds. */
export const pollWait: Milliseconds = 600;
/** How long a poll waits at an idle worker, where no run can end. */
export const idlePollWait: Milliseconds = 2_000;
/**
 * A worker without activity for this long is idle: starts are settled and its runs visible by then. Five usual polls.
 */
export const idleAfter: Milliseconds = 3_000;
/**
 * How long a poll waits while answers are being lost: the end of a run is not seen until a lost answer has timed out.
 */
export const lossyPollWait: Milliseconds = 200;
/** Answers are considered lossy for this long after the last loss. */
export const lossWindow: Milliseconds = 5_000;
/** Minimum time between two polls, in case a worker answers without the requested wait. */
export const minPollInterval: Milliseconds = 4;
/** Delay before an unanswered call is repeated. */
export const retryDelay: Milliseconds = 120;
/**
 * Delay before an unanswered call is repeated while an unanswered order may still be carried out. A worker that has
 * crashed and restarted accepts such an order until it has seen a higher token, so it must be polled soon after its
 * start.
 */
export const lateOrderRetryDelay: Milliseconds = 20;
/** How long an unanswered order may still be carried out after it was sent. */
export const lateOrderWindow: Milliseconds = 12_000;
/** Minimum time between two full poll results sent to the owner. */
export const progressInterval: Milliseconds = 500;
/** Maximum wait for the owner's acknowledgement of reported run ends before the next poll. */
export const acknowledgementTimeout: Milliseconds = 150;
/**
 * A worker that answered this recently still has the same incarnation: a restart that also completes a run takes
 * longer. Covers the wait for an acknowledgement and two retries of a call.
 */
export const sameIncarnationWindow: Milliseconds = 200;
/**
 * Links stop granting leases when they have not heard for this long that the owner owns the cell. Four heartbeats: a
 * takeover takes about as long, and running work has most of its lease left.
 */
export const ownerSilenceLimit: Milliseconds = 1_000;
/**
 * Messages of the owner that are read within this time of a possible suspension may have been sent before it. Longer
 * than the heartbeat interval, so that at the latest the second heartbeat after a suspension counts.
 */
export const staleMessageWindow: Milliseconds = 300;
/**
 * Maximum length of leases at a draining worker: only their expiry proves that its runs are over. Three times
 * the longest gap in renewals when an owner is replaced.
 */
export const drainingLeaseLength: Milliseconds = 3_000;
/** Maximum relative slowness of a worker's clock, which the worker protocol limits to 2%. */
export const maxClockDrift = 0.02;
/** Maximum number of attempts to send a pace order. */
export const maxPaceAttempts = 4;
