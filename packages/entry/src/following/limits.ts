/** Derives the timing of follow loops from the required freshness. */
import type { Milliseconds } from "@pebbledale/core";
import { followRetryDelay, maxFollowWait, minFollowWait, retryWait, slackShare, waitShare } from "./constants.js";

/** Required freshness of what a VM knows, as the operators set it. */
export interface FreshnessBounds {
    /** Maximum time from the announcement that a worker drains to the last start of a task on it. */
    readonly drainWithin: Milliseconds;
    /** Maximum time from the acceptance of a configuration by the store until it is in force. */
    readonly configurationWithin: Milliseconds;
    /** Maximum time from the closing of a data hall by the operators to the last start of a task there. */
    readonly closureWithin: Milliseconds;
    /** Maximum time until VMs reach each other again after a network fault between them. */
    readonly contactWithin: Milliseconds;
}

/** Timing of one follow loop. */
export interface FollowLimits {
    /** How long a call waits for changes. */
    readonly wait: Milliseconds;
    /** Time after the wait within which the answer must arrive; then the connection is considered dead. */
    readonly slack: Milliseconds;
}

/** Timing that meets the strictest of the bounds. */
export const followLimitsOf = (bounds: FreshnessBounds): FollowLimits => {
    const { drainWithin, configurationWithin, closureWithin, contactWithin } = bounds;
    const within = Math.min(drainWithin, configurationWithin, closureWithin, contactWithin);
    const wait = Math.max(minFollowWait, Math.floor(within * waitShare));
    return { wait: Math.min(maxFollowWait, wait), slack: within * slackShare };
};

/**
 * Maximum age of a followed copy while the store works and one connection dies: the call on the dead connection times out, and the
 * retry is answered on another connection.
 */
export const maxStaleness = ({ wait, slack }: FollowLimits): Milliseconds =>
    wait + slack + followRetryDelay + retryWait + slack / 2;
