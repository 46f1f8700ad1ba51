/** Limits of a shard that are not settings. */

/** Entries kept of a job's history; older ones go first. */
export const maxHistoryEntries = 40;
/** Weight of the newest interval in the rate of starts. */
export const startRateWeight = 0.3;
/** Share of the queue that each priority may fill, most urgent first. */
export const queueShares = { urgent: 1, normal: 0.9, patient: 0.7 } as const;
/** Longest time that a caller is told to stay away, in milliseconds. */
export const maxRetryAfter = 600_000;
/**
 * How long a new owner only grants slots that gateways say they hold, in milliseconds: twice the time between two
 * renewals. A gateway that was cut off for longer may still use its bundle; the instance refuses what is too much.
 */
export const gatewayRegistrationPeriod = 1_000;
/** A pass over the queue ends after this many units that did not fit. */
export const maxUnplacedUnits = 256;
/** A pass is due after this time even when no room came free and nothing new waits, in milliseconds. */
export const placementCycleInterval = 1_000;
