/** Fixed limits of a shard, as opposed to its settings. */
import type { Milliseconds } from "../time/index.js";

/** Entries in a job's history. The first entry is always kept; of the others the oldest are dropped. */
export const maxHistoryEntries = 40;
/** Smoothing factor of the exponential moving average of task starts per second. */
export const startRateWeight = 0.3;
/** Share of the queue limit up to which submissions of each priority are accepted. */
export const queueShares = { urgent: 1, normal: 0.9, patient: 0.7 } as const;
/** Upper bound of the retry delay suggested to callers, in milliseconds. */
export const maxRetryAfter = 600_000;
/**
 * How long a new owner only re-grants slots that gateways report as held, in milliseconds: twice their renewal interval.
 * A gateway that is partitioned for longer may still use its grant; instances reject requests beyond their slots.
 */
export const gatewayRegistrationPeriod = 1_000;
/** A placement cycle ends after this many units that could not be placed. */
export const maxUnplacedUnits = 256;
/** Longest interval between two placement cycles when no capacity was freed and nothing was queued, in milliseconds. */
export const placementCycleInterval = 1_000;
/**
 * Minimum retention of an at-most-once live request without a known answer, which may still run: twice the longest deadline that a caller
 * may give.
 */
export const minUnansweredRetention: Milliseconds = 7_200_000;
