/** How long what is followed may go unheard, worked out from the users' bounds. */
import type { Milliseconds } from "@pebbledale/core";
import {
    followRetryDelay,
    longestFollowWait,
    retryWait,
    shortestFollowWait,
    slackShare,
    waitShare,
} from "./constants.js";

/** The users' bounds on news. */
export interface FreshnessBounds {
    /** No start reaches a worker later than this after it said that it leaves. */
    readonly drainWithin: Milliseconds;
    /** A configuration is in force this long after the store took it. */
    readonly configurationWithin: Milliseconds;
    /** A VM is bound by the others this long after a fault of its connections. */
    readonly contactWithin: Milliseconds;
}

/** Times of one follow loop. */
export interface FollowLimits {
    /** How long a call waits for news. */
    readonly wait: Milliseconds;
    /** How long an answer may stay out beyond that before its connection is taken for silent. */
    readonly slack: Milliseconds;
}

/** The limits that keep the bounds. */
export const followLimitsOf = (bounds: FreshnessBounds): FollowLimits => {
    const within = Math.min(bounds.drainWithin, bounds.configurationWithin, bounds.contactWithin);
    const wait = Math.max(shortestFollowWait, Math.floor(within * waitShare));
    return { wait: Math.min(longestFollowWait, wait), slack: within * slackShare };
};

/**
 * How old what is known gets at most while the store answers, when one connection falls silent: the call that waits on it
 * is given up, and the next one is answered on another within its slack.
 */
export const maxStaleness = ({ wait, slack }: FollowLimits): Milliseconds =>
    wait + slack + followRetryDelay + retryWait + slack / 2;
