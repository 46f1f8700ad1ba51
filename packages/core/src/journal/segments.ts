/** Keys and stored form of the journal's segments. */
import type { ShardId } from "../ids/index.js";
import type { KeyValue } from "../platform/index.js";
import type { Segment } from "./types.js";

/** Digits of a slot in its key. */
const slotDigits = 5;

/** Where the segments of a shard lie. */
export const journalPrefix = (shard: ShardId): string => `shards/${shard}/journal/`;

/** The key of one slot of the ring. */
export const ringKey = (shard: ShardId, slot: number): string =>
    `${journalPrefix(shard)}${String(slot).padStart(slotDigits, "0")}`;

/** The slot of a key of the ring. */
export const slotOf = (key: string): number => Number(key.slice(-slotDigits));

/** Reads a segment. */
export const parseSegment = (entry: KeyValue): Segment => JSON.parse(entry.value) as Segment;
