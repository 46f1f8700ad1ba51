/** Follows all keys of the store that have a prefix. */
import type { ChangeFeed, KeyChanges, KeysAtCursor, Milliseconds } from "@pebbledale/core";
import type { Followed, FollowedNews } from "../following/index.js";

/** Local copy of the keys under a prefix. */
export interface KeyFollower {
    /** Replaces the whole content. */
    replace(keys: KeysAtCursor): void;
    change(changes: KeyChanges): void;
}

/** Feeds a {@link KeyFollower} with all keys that have a prefix, and with changes to them. */
export class FollowedKeys implements Followed {
    constructor(
        private readonly feed: ChangeFeed,
        private readonly prefix: string,
        private readonly follower: KeyFollower,
    ) {}

    async readAll(signal: AbortSignal): Promise<FollowedNews> {
        const keys = await this.feed.readAll(this.prefix, signal);
        return { cursor: keys.cursor, take: () => this.follower.replace(keys) };
    }

    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedNews | undefined> {
        const changes = await this.feed.changes(this.prefix, cursor, wait, signal);
        return changes && { cursor: changes.cursor, take: () => this.follower.change(changes) };
    }
}
