/** Timing of the loops that follow the store, in milliseconds or as a share of the required freshness. */
import type { Milliseconds } from "@pebbledale/core";

/** Share of the required freshness that one call waits for changes. The rest is left for detecting a dead connection and retrying. */
export const waitShare = 0.5;
/** Maximum lateness of an answer as a share of the required freshness, however slow earlier answers were. */
export const slackShare = 0.2;
/** The platform's store allows waits of up to 30 s. */
export const maxFollowWait: Milliseconds = 20_000;
/** Bounds the rate of calls to a few a second when the required freshness is very short. */
export const minFollowWait: Milliseconds = 250;
/** Minimum time that an answer may be late before its call is abandoned: a pause of this process takes up to 0.1 s. */
export const minSlack: Milliseconds = 250;
/** The slack doubles with each consecutive failure, up to this. A slow store answers within 0.4 s. */
export const maxSlack: Milliseconds = 1_500;
/** Wait of the first call after a failure: kept short to learn soon whether the store answers again. */
export const retryWait: Milliseconds = 20;
/** Delay before the first retry of a failed call. */
export const followRetryDelay: Milliseconds = 50;
/** Delay before further retries. */
export const repeatedRetryDelay: Milliseconds = 150;
/** Timeout of reading all entries. A page of a megabyte takes 1.2 s on a VM with 7 Mbit/s. */
export const readAllTimeout: Milliseconds = 2_000;
/** The timeout doubles with each consecutive failure, up to this. */
export const maxReadAllTimeout: Milliseconds = 8_000;
