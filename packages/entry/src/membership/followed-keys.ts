/** Keys of the store that are followed by prefix. */
import type { ChangeFeed, KeyChanges, KeysAtCursor, Milliseconds } from "@pebbledale/core";
import type { Followed } from "../following/index.js";

/** Takes in what is followed. */
export interface KeyFollower {
    /** All keys as they stand. */
    replace(keys: KeysAtCursor): void;
    /** Changes since. */
    change(changes: KeyChanges): void;
}

/** See the module's comment. */
export class FollowedKeys implements Followed {
    constructor(
        private readonly feed: ChangeFeed,
        private readonly prefix: string,
        private readonly follower: KeyFollower,
    ) {}

    /** See {@link Followed.readAll}. */
    async readAll(signal: AbortSignal): Promise<string> {
        const keys = await this.feed.readAll(this.prefix, signal);
        this.follower.replace(keys);
        return keys.cursor;
    }

    /** See {@link Followed.takeChanges}. */
    async takeChanges(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<string | undefined> {
        const changes = await this.feed.changes(this.prefix, cursor, wait, signal);
        if (changes !== undefined) {
            this.follower.change(changes);
        }
        return changes?.cursor;
    }
}
