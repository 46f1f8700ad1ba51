/** Follows keys of the store: reads all, then takes changes in; reads all again when the history is gone. */
import { type ChangeFeed, type Clock, type KeyChanges, type KeysAtCursor, type Milliseconds } from "@pebbledale/core";
import type { DependencyWatch } from "../observation/index.js";

/** Longest wait in one call, in milliseconds: the platform's store allows 30 s. */
const watchDuration: Milliseconds = 20_000;
/** Wait before a call that had no answer is made again, in milliseconds. */
const retryDelay: Milliseconds = 150;

/** Takes in what is followed. */
export interface Follower {
    /** All keys as they stand. */
    all(keys: KeysAtCursor): void;
    /** Changes since. */
    changes(changes: KeyChanges): void;
}

/** Follows a prefix until `signal` fires. */
export const followKeys = async (
    feed: ChangeFeed,
    clock: Clock,
    prefix: string,
    follower: Follower,
    watch: DependencyWatch,
    signal: AbortSignal,
): Promise<void> => {
    let cursor: string | undefined;
    while (!signal.aborted) {
        try {
            cursor = await followOnce(feed, prefix, cursor, follower, signal);
            watch.noteAnswer();
        }
        catch (cause) {
            if (!signal.aborted) {
                watch.noteFailure(cause);
                await clock.sleep(retryDelay, signal);
            }
        }
    }
};

const followOnce = async (
    feed: ChangeFeed,
    prefix: string,
    cursor: string | undefined,
    follower: Follower,
    signal: AbortSignal,
): Promise<string | undefined> => {
    if (cursor === undefined) {
        const keys = await feed.readAll(prefix, signal);
        follower.all(keys);
        return keys.cursor;
    }
    const changes = await feed.changes(prefix, cursor, watchDuration, signal);
    if (changes !== undefined) {
        follower.changes(changes);
    }
    return changes?.cursor;
};
