/** When a VM that was told to stop does what. */
import type { Milliseconds } from "@pebbledale/core";

/** New connections are taken for so long: the platform asks once a second whether a VM is ready, and two misses take it out. */
const unreadyPeriod: Milliseconds = 2_300;
/** New connections are taken for this share of the time at most, however short that is. */
const maxUnreadyShare = 0.5;
/** Kept back from the time after which the process is killed: open requests have their answers by then. */
const answerReserve: Milliseconds = 900;
/** The same for the end of the process, which must come by itself. */
const exitReserve: Milliseconds = 300;

/** Times after the word to stop, in milliseconds. */
export interface ShutdownTimes {
    /** New connections are taken until then. */
    readonly stopAcceptingAfter: Milliseconds;
    /** Every request has its answer by then. */
    readonly answerWithin: Milliseconds;
    /** The process ends by then, whatever still waits. */
    readonly exitWithin: Milliseconds;
}

/** The times of a VM that is killed after `stopWithin`. */
export const shutdownTimesOf = (stopWithin: Milliseconds): ShutdownTimes => ({
    stopAcceptingAfter: Math.min(unreadyPeriod, stopWithin * maxUnreadyShare),
    answerWithin: Math.max(0, stopWithin - answerReserve),
    exitWithin: Math.max(0, stopWithin - exitReserve),
});
