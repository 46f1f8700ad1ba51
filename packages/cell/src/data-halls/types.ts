/** Closures of data halls by the operators. */
import type { DataHallName } from "@pebbledale/core";

/** The data halls in which no task may be started, as of one moment of the store's history. */
export interface HallClosures {
    readonly halls: readonly DataHallName[];
    /** Revision of the store. Of two states the one with the higher revision is in force. */
    readonly revision: number;
}

/** Data halls that were closed and reopened since an earlier reading of the store. */
export interface HallChanges {
    readonly closed: readonly DataHallName[];
    readonly reopened: readonly DataHallName[];
    /** Revision of the store up to which the changes are complete. */
    readonly revision: number;
}
