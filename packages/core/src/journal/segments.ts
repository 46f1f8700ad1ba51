/** Keys and encoding of the journal's segments. */
import type { ShardId } from "../ids/index.js";
import type { KeyValue } from "../platform/index.js";
import type { Segment } from "./types.js";

/** Number of digits of a slot in its key. */
const slotDigits = 5;

/** Key prefix of a shard's segments. */
export const journalPrefix = (shard: ShardId): string => `shards/${shard}/journal/`;

/** Number of slots read by one listing, well below the page size. */
const slotsPerSection = 100;
const sectionDigits = 2;

/** Key prefixes that together cover all slots of a ring. */
export const sectionPrefixes = (shard: ShardId, ringSize: number): string[] =>
    Array.from(
        { length: Math.ceil(ringSize / slotsPerSection) },
        (_, section) => `${journalPrefix(shard)}${String(section).padStart(slotDigits - sectionDigits, "0")}`,
    );

/** Key of a slot; slots are numbered from 0. */
export const ringKey = (shard: ShardId, slot: number): string =>
    `${journalPrefix(shard)}${String(slot).padStart(slotDigits, "0")}`;

/** Extracts the slot number from a key of the ring. */
export const ringSlotOf = (key: string): number => Number(key.slice(-slotDigits));

/** Decodes a stored segment without validation. */
export const parseSegment = (entry: KeyValue): Segment => JSON.parse(entry.value) as Segment;
