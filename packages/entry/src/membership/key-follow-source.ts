/** Follows all keys of the store that have a prefix. */
import type { ChangeFeed, KeyChanges, KeysAtCursor, Milliseconds } from "@pebbledale/core";
import type { FollowedUpdate, FollowSource } from "../following/index.js";

/** Local copy of the keys under a prefix. */
export interface KeyReplica {
    /** Replaces the whole content. */
    replace(keys: KeysAtCursor): void;
    apply(changes: KeyChanges): void;
}

/** Feeds a {@link KeyReplica} with all keys that have a prefix, and with changes to them. */
export class KeyFollowSource implements FollowSource {
    constructor(
        private readonly feed: ChangeFeed,
        private readonly prefix: string,
        private readonly replica: KeyReplica,
    ) {}

    async readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        const keys = await this.feed.readAll(this.prefix, signal);
        return { cursor: keys.cursor, apply: () => this.replica.replace(keys) };
    }

    async changes(cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        const changes = await this.feed.changes(this.prefix, cursor, wait, signal);
        return changes && { cursor: changes.cursor, apply: () => this.replica.apply(changes) };
    }
}
