/** Deadlines of a graceful shutdown. */
import type { Milliseconds } from "@pebbledale/core";

/** The platform probes readiness once a second and takes a VM out after two failures; until then it sends new connections. */
const unreadyFor: Milliseconds = 2_300;
/** Limits the time for which new connections are accepted to this share of the whole shutdown. */
const mostUnreadyShare = 0.5;
/** Time between the last answer to an open request and the kill. */
const answerReserve: Milliseconds = 900;
/** Time between the end of the process and the kill. */
const endReserve: Milliseconds = 300;

/** Deadlines in milliseconds, counted from the request to stop. */
export interface StopTimes {
    /** New connections are accepted until then. */
    readonly closesAfter: Milliseconds;
    /** Every open request is answered by then. */
    readonly answersWithin: Milliseconds;
    /** The process exits by then, even if work is still pending. */
    readonly endsWithin: Milliseconds;
}

/** Deadlines of a process that is killed `stopWithin` after it was asked to stop. */
export const stopTimesOf = (stopWithin: Milliseconds): StopTimes => ({
    closesAfter: Math.min(unreadyFor, stopWithin * mostUnreadyShare),
    answersWithin: Math.max(0, stopWithin - answerReserve),
    endsWithin: Math.max(0, stopWithin - endReserve),
});
