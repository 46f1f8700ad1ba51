/** Keys of the store that are followed by prefix. */
import type { ChangeFeed, KeyChanges, KeysAtCursor, Milliseconds } from "@pebbledale/core";
import type { FollowedUpdate, FollowSource } from "../following/index.js";

/** Takes in what is followed. */
export interface KeyReplica {
    /** All keys as they stand. */
    replace(keys: KeysAtCursor): void;
    /** Changes since. */
    apply(changes: KeyChanges): void;
}

/** See the module's comment. */
export class KeyFollowSource implements FollowSource {
    constructor(
        private readonly feed: ChangeFeed,
        private readonly prefix: string,
        private readonly follower: KeyReplica,
    ) {}

    /** See {@link FollowSource.readAll}. */
    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const keys = await this.feed.readAll(this.prefix, signal);
        return { cursor: keys.cursor, apply: () => this.follower.replace(keys) };
    }

    /** See {@link FollowSource.changes}. */
    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const changes = await this.feed.changes(this.prefix, cursor, wait, signal);
        return changes && { cursor: changes.cursor, apply: () => this.follower.apply(changes) };
    }
}
