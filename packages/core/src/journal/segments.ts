/** Keys and stored form of the journal's segments. */
import type { ShardId } from "../ids/index.js";
import type { KeyValue } from "../platform/index.js";
import type { Segment } from "./types.js";

/** Digits of a slot in its key. */
const slotDigits = 5;

/** Where the segments of a shard lie. */
export const journalPrefix = (shard: ShardId): string => `shards/${shard}/journal/`;

/** Slots whose keys are alike but for the last digits are read by one call: so many, well below what a page holds. */
const slotsPerSection = 100;
const sectionDigits = 2;

/** Prefixes of keys that together are those of all slots of a ring. */
export const sectionPrefixes = (shard: ShardId, ringSize: number): string[] =>
    Array.from(
        { length: Math.ceil(ringSize / slotsPerSection) },
        (_, section) => `${journalPrefix(shard)}${String(section).padStart(slotDigits - sectionDigits, "0")}`,
    );

/** The key of one slot of the ring. */
export const ringKey = (shard: ShardId, slot: number): string =>
    `${journalPrefix(shard)}${String(slot).padStart(slotDigits, "0")}`;

/** The slot of a key of the ring. */
export const ringSlotOf = (key: string): number => Number(key.slice(-slotDigits));

/** Reads a segment. */
export const parseSegment = (entry: KeyValue): Segment => JSON.parse(entry.value) as Segment;
