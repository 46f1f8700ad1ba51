/** Timeouts, intervals and limits of the owner; times are in milliseconds. */
import type { Milliseconds } from "@pebbledale/core";

/** Interval of the owner's heartbeats to each VM. VMs time out an owner after several of them. */
export const ownerHeartbeatInterval: Milliseconds = 250;
/** Interval of the owner's main loop, which handles time-based events. */
export const tickInterval: Milliseconds = 100;
/** A VM that sends nothing for this long is considered down and its links are reassigned. Four heartbeats. */
export const vmSilenceTimeout: Milliseconds = 1_000;
/** Delay before an unreachable VM is dialled again. */
export const dialRetryDelay: Milliseconds = 250;
/** A dial attempt fails after this time. */
export const dialTimeout: Milliseconds = 700;
/** A VM whose entry has disappeared is still dialled for this long, as it may only have lost the store. */
export const vmRetention: Milliseconds = 30_000;
/** Minimum time between two journal writes; bounds the write rate of the cell. */
export const commitInterval: Milliseconds = 20;
/** Number of keys in the journal's ring buffer. A new owner reads all of them, so it is kept small. */
export const journalRingSize = 1_024;
/** Number of segments after which a snapshot may replace them. */
export const journalSnapshotInterval = 400;
/** Maximum size of a journal value in bytes, well below the store's limit after encoding. */
export const journalMaxValueBytes = 500_000;
/** Delay before a write is retried when all its attempts have failed. */
export const journalRetryDelay: Milliseconds = 60;
/**
 * A write without an answer is sent a second time in parallel after this delay, so that the journal resumes as soon as
 * the store is back instead of when the hanging call times out. A slow store takes up to 400 ms and gets two extra
 * calls per write.
 */
export const journalResendDelay: Milliseconds = 160;
/** Maximum number of segments in flight: enough for a third of a second, which covers a slow store's latency. */
export const journalMaxInFlight = 16;
/** New jobs are refused when no journal write has been answered for this long. A slow store answers within 0.4 s. */
export const journalStallTimeout: Milliseconds = 450;
/** Delay after which a caller is asked to retry a request that the owner cannot serve yet. */
export const retryLaterDelay: Milliseconds = 1_000;
/** A request whose record is not committed within this time is answered as uncertain. */
export const commitTimeout: Milliseconds = 2_500;
/** Number of fencing tokens reserved for one assignment; a link increments its token within this range. */
export const tokensPerAssignment = 1_000;
/** Maximum number of assignments of one worker's link within one epoch. */
export const assignmentsPerEpoch = 10_000;
/** Subtracted from the time of a poll to allow for the delay of messages between two VMs. */
export const pollAgeMargin: Milliseconds = 1_000;
/**
 * An owner that the store has not confirmed for this long grants no more leases, as another VM may own the cell. With
 * the leases then in force, running work survives a store outage of about nine seconds.
 */
export const confirmationValidity: Milliseconds = 3_000;
/**
 * Interval at which an owner that may have been suspended checks for the store's confirmation, which takes about 4 ms.
 */
export const confirmationPollInterval: Milliseconds = 5;
/** A VM with at least this many times the owner's processor share is offered the cell. */
export const handOverSizeRatio = 1.5;
/** How long a larger VM must be connected before it is offered the cell. */
export const minConnectedTimeBeforeHandOver: Milliseconds = 3_000;
/** How long an owner that hands over keeps serving while the store does not answer. */
export const handOverStoreTimeout: Milliseconds = 4_500;
/** Interval of checks for the store's answer. */
export const storeAnswerPollInterval: Milliseconds = 20;
/** Maximum wait for the last records to be committed during a handover; callers get no answers meanwhile. */
export const handOverCommitTimeout: Milliseconds = 1_000;
/** Interval at which the state of the cell is logged, in milliseconds. */
export const summaryInterval: Milliseconds = 1_000;
/**
 * Maximum pause between two scheduling cycles while recent ones were short. A cycle longer than a third of this was
 * delayed by a process pause or by the processor quota and does not reflect the cost of scheduling.
 */
export const maxCyclePause: Milliseconds = 30;
/**
 * Number of recent cycles whose minimum duration is taken as the cost of a cycle. Long cycles with a large backlog must
 * leave the owner time to handle messages from workers.
 */
export const cycleSampleCount = 4;
/** Maximum share of the owner's time spent on scheduling cycles; the rest is for messages and calls. */
export const maxCycleShare = 0.25;
/** Number of recent restarts of a worker before its links are delayed. */
export const restartsWithoutBackoff = 3;
/** Initial backoff, about the start time of a process; it doubles with each further restart. */
export const minRestartBackoff: Milliseconds = 100;
/** Maximum backoff, so that a worker that has stabilised is soon used again. */
export const maxRestartBackoff: Milliseconds = 2_000;
/** A worker that has not restarted for this long is considered stable. */
export const restartWindow: Milliseconds = 10_000;
/**
 * How long changes of workers' entries are gathered for one call to the store: workers write there at each of their heartbeats. A small
 * part of the time within which a leaving worker has to be known.
 */
export const workerEntriesGathering: Milliseconds = 100;
