/** Storage of snapshots as text, split into parts that each fit into one value. */
import type { Epoch, ShardId } from "../ids/index.js";
import type { PlatformStore } from "../platform/index.js";
import type { SnapshotPointer } from "./types.js";

/** Bit pattern of UTF-8 continuation bytes. */
const continuationMask = 0xc0;
const continuationByte = 0x80;

const snapshotPrefix = (shard: ShardId): string => `shards/${shard}/snapshots/`;

/** Creates the name of a snapshot. `nonce` makes it unique among those of the same owner. */
export const snapshotName = (epoch: Epoch, through: number, nonce: string): string => `${epoch}-${through}-${nonce}`;

/** Returns the epoch of the owner that took a snapshot. */
export const epochOfSnapshot = ({ name }: SnapshotPointer): number => Number(name.slice(0, name.indexOf("-")));

/** Key of one part; parts are numbered from 0. */
export const snapshotKey = (shard: ShardId, name: string, part: number): string =>
    `${snapshotPrefix(shard)}${name}/${part}`;

/** Splits a text into parts of at most `maxBytes` bytes each, never within a character. */
export const splitText = (text: string, maxBytes: number): string[] => {
    const bytes = Buffer.from(text);
    const parts: string[] = [];
    let start = 0;
    do {
        let end = Math.min(start + maxBytes, bytes.length);
        while (end < bytes.length && (bytes[end] & continuationMask) === continuationByte) {
            end--;
        }
        parts.push(bytes.toString("utf8", start, end));
        start = end;
    }
    while (start < bytes.length);
    return parts;
};

/** Removes all parts of a snapshot that still exist. */
export const removeSnapshot = async (store: PlatformStore, shard: ShardId, pointer: SnapshotPointer): Promise<void> => {
    for (let part = 0; part < pointer.parts; part++) {
        const key = snapshotKey(shard, pointer.name, part);
        const entry = await store.get(key);
        if (entry !== undefined) {
            await store.remove(key, entry.version);
        }
    }
};

/** Reads and decodes a snapshot; undefined when a part is missing. */
export const readSnapshot = async (
    store: PlatformStore,
    shard: ShardId,
    pointer: SnapshotPointer,
): Promise<unknown> => {
    const keys = Array.from({ length: pointer.parts }, (_, part) => snapshotKey(shard, pointer.name, part));
    const entries = await Promise.all(keys.map(key => store.get(key)));
    return entries.includes(undefined)
        ? undefined
        : JSON.parse(entries.map(entry => entry?.value ?? "").join(""));
};
