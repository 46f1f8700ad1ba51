/** Keys of the store that are followed by prefix. */
import type { ChangeFeed, KeyChanges, KeysAtCursor, Milliseconds } from "@pebbledale/core";
import type { Followed, FollowedNews } from "../following/index.js";

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
    async readAll(signal: AbortSignal): Promise<FollowedNews> {
        const keys = await this.feed.readAll(this.prefix, signal);
        return { cursor: keys.cursor, take: () => this.follower.replace(keys) };
    }

    /** See {@link Followed.changes}. */
    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedNews | undefined> {
        const changes = await this.feed.changes(this.prefix, cursor, wait, signal);
        return changes && { cursor: changes.cursor, take: () => this.follower.change(changes) };
    }
}
