/** Derives the timing of follow loops from the required freshness. */
import type { Milliseconds } from "@pebbledale/core";
import { followRetryDelay, maxFollowWait, minFollowWait, retryWait, slackShare, waitShare } from "./constants.js";

/** Required freshness of what a VM knows, as the operators set it. */
export interface FreshnessBounds {
    /** No task is started on a worker later than this after the worker announced that it drains. */
    readonly drainWithin: Milliseconds;
    /** A configuration is in force this long after the store accepted it. */
    readonly configurationWithin: Milliseconds;
    /** VMs reach each other again this long after a fault of their connections. */
    readonly contactWithin: Milliseconds;
}

/** Timing of one follow loop. */
export interface FollowLimits {
    /** How long a call waits for changes. */
    readonly wait: Milliseconds;
    /** How late an answer may be beyond that before its connection is considered dead. */
    readonly slack: Milliseconds;
}

/** Timing that meets the strictest of the bounds. */
export const followLimitsOf = (bounds: FreshnessBounds): FollowLimits => {
    const within = Math.min(bounds.drainWithin, bounds.configurationWithin, bounds.contactWithin);
    const wait = Math.max(minFollowWait, Math.floor(within * waitShare));
    return { wait: Math.min(maxFollowWait, wait), slack: within * slackShare };
};

/**
 * Largest age of a followed copy while the store works and one connection dies: the call on the dead connection times out, and the
 * retry is answered on another connection.
 */
export const maxStaleness = ({ wait, slack }: FollowLimits): Milliseconds =>
    wait + slack + followRetryDelay + retryWait + slack / 2;
