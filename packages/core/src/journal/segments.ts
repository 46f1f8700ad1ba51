/** Keys and encoding of the journal's segments. */
import * as z from "zod";
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import { parseJson } from "../json/index.js";
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

/** Extracts the slot number from a key below the journal's prefix; undefined when it is no key of the ring. */
export const ringSlotOf = (shard: ShardId, key: string): number | undefined => {
    const slot = Number(key.slice(journalPrefix(shard).length));
    return Number.isInteger(slot) && key === ringKey(shard, slot) ? slot : undefined;
};

const position = z.number().int().min(1).max(Number.MAX_SAFE_INTEGER);
const snapshotSchema = z.object({ name: z.string(), parts: position, through: position });
const segmentSchema = z.object({
    sequence: position,
    epoch: position.transform(epoch => epoch as Epoch),
    writer: z.string().transform(writer => writer as ProcessId),
    nonce: z.string(),
    snapshot: snapshotSchema.optional(),
    records: z.array(z.unknown()),
});

/** Decodes the value of a slot; undefined when it is no segment, as another writer may have left it. */
export const parseSegment = ({ value }: KeyValue): Segment | undefined => {
    const checked = segmentSchema.safeParse(parseJson(value));
    return checked.success ? { ...checked.data, snapshot: checked.data.snapshot } : undefined;
};
