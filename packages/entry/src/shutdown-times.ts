/** Deadlines of a graceful shutdown. */
import type { Milliseconds } from "@pebbledale/core";

/** The platform probes readiness once a second and takes a VM out after two failures; until then it sends new connections. */
const unreadyPeriod: Milliseconds = 2_300;
/** Limits the time for which new connections are accepted to this share of the whole shutdown. */
const maxUnreadyShare = 0.5;
/** Time between the last answer to an open request and the kill. */
const answerReserve: Milliseconds = 900;
/** Time between the end of the process and the kill. */
const exitReserve: Milliseconds = 300;

/** Deadlines in milliseconds, counted from the request to stop. */
export interface ShutdownTimes {
    /** New connections are accepted until then. */
    readonly stopAcceptingAfter: Milliseconds;
    /** Every open request is answered by then. */
    readonly answerWithin: Milliseconds;
    /** The process exits by then, even if work is still pending. */
    readonly exitWithin: Milliseconds;
}

/** Deadlines of a process that is killed `stopWithin` after it was asked to stop. */
export const shutdownTimesOf = (stopWithin: Milliseconds): ShutdownTimes => ({
    stopAcceptingAfter: Math.min(unreadyPeriod, stopWithin * maxUnreadyShare),
    answerWithin: Math.max(0, stopWithin - answerReserve),
    exitWithin: Math.max(0, stopWithin - exitReserve),
});
