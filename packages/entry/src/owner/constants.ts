/** Times and sizes of the owner, in milliseconds where they are times. */
import type { Milliseconds } from "@pebbledale/core";

/** Time between two beats to each VM when nothing else is sent. */
export const ownerHeartbeatInterval: Milliseconds = 250;
/** Time between two looks at what time has brought. */
export const tickInterval: Milliseconds = 100;
/** A VM that is not heard for this long is taken for gone: its links go to others. Four beats. */
export const vmSilenceTimeout: Milliseconds = 1_000;
/** Wait before a VM that could not be reached is dialled again. */
export const dialRetryDelay: Milliseconds = 250;
/** A dial without an answer by then has failed. */
export const dialTimeout: Milliseconds = 700;
/** A VM whose entry is gone is dialled for this long: it may only be cut off from the store. */
export const vmRetention: Milliseconds = 30_000;
/** Least time between two writes of the journal: bounds the writes of the cell. */
export const commitInterval: Milliseconds = 20;
/** Keys of the journal's ring: a new owner reads them all, so there are few. */
export const journalRingSize = 1_024;
/** Segments after which a snapshot may replace them. */
export const journalSnapshotInterval = 400;
/** Largest value that the journal writes, in bytes, well below the store's limit with its encoding. */
export const journalMaxValueBytes = 500_000;
/** Wait before a write all of whose calls have failed is sent again. */
export const journalRetryDelay: Milliseconds = 60;
/**
 * A write without an answer is sent again beside the first after this time: the journal goes on as soon as the store is
 * back, not when a call that hangs is given up. A slow store answers in up to 400 ms and gets two calls more a write.
 */
export const journalResendDelay: Milliseconds = 160;
/** Most segments on their way at once: those of a third of a second, in which a slow store answers. */
export const journalMaxInFlight = 16;
/** A journal none of whose writes is answered for this long takes no new jobs. A slow store answers in up to 0.4 s. */
export const journalStallTimeout: Milliseconds = 450;
/** When a caller that was refused for a stalled journal is to come back. */
export const retryLaterDelay: Milliseconds = 1_000;
/** A record that is not kept by then is uncertain to its caller. */
export const commitTimeout: Milliseconds = 2_500;
/** Tokens that a link may count up from the one that it was assigned with. */
export const tokensPerAssignment = 1_000;
/** Assignments of a worker's link under one owner. */
export const assignmentsPerEpoch = 10_000;
/** Taken off a look's time: messages between two VMs may be delayed by as much. */
export const pollAgeMargin: Milliseconds = 1_000;
/**
 * Without a confirmation by the store for this long an owner has no more leases given: another may own the cell. With
 * the leases that run by then, work goes on through an outage of the store of about nine seconds.
 */
export const confirmationValidity: Milliseconds = 3_000;
/** An owner that may have been suspended looks this often whether the store has confirmed it: its answer takes about 4 ms. */
export const confirmationPollInterval: Milliseconds = 5;
/** A VM with this many times the owner's processor is offered the cell once it has been connected for a while. */
export const handOverSizeRatio = 1.5;
/** How long a much larger VM is connected before it is offered the cell. */
export const minConnectedTimeBeforeHandOver: Milliseconds = 3_000;
/** How long an owner that is to hand over serves on while the store is silent. */
export const handOverStoreTimeout: Milliseconds = 4_500;
/** Time between two looks at whether the store has answered. */
export const storeAnswerPollInterval: Milliseconds = 20;
/** Longest wait for the last records to be kept, in which no caller is answered. */
export const handOverCommitTimeout: Milliseconds = 1_000;
/** How often the state of the cell is logged, in milliseconds. */
export const summaryInterval: Milliseconds = 1_000;
/**
 * Longest wait between two passes while the last ones were short: one that took longer than a third of this was held up, by
 * a pause of the process or by its quota of the processor, and says nothing of what passes cost.
 */
export const maxCyclePause: Milliseconds = 30;
/**
 * The shortest of so many passes tells what passes cost. With hundreds of jobs that wait at 380 workers they took 150 ms each
 * on a small VM whose code was cold, and one after the other would have left the owner no time to hear the workers.
 */
export const cycleSampleCount = 4;
/** Passes over what waits take at most this share of the owner's time: the rest is for messages and calls. */
export const maxCycleShare = 0.25;
/** A worker may be started again so often of late before its links wait: a fault strikes a cell a few times in a row. */
export const restartsWithoutBackoff = 3;
/** The first such wait; each further restart doubles it. About what a process takes to start. */
export const minRestartBackoff: Milliseconds = 100;
/** The longest such wait: a worker that comes to rest is used again soon after. */
export const maxRestartBackoff: Milliseconds = 2_000;
/** A worker that was not started again for this long has come to rest. */
export const restartWindow: Milliseconds = 10_000;
