/** Which shard a key, a job or a rack belongs to. */
import { type JobId, type ShardId, shardId } from "@pebbledale/core";
import { createHash } from "node:crypto";

/** Prefix of the keys that name the owner of each shard. */
export const ownersPrefix = "owners/";
/** The key that names the owner of a shard. */
export const ownerKeyOf = (shard: ShardId): string => `${ownersPrefix}${shard}`;

/** What a shard's owner says of itself in the platform's service. */
export interface OwnerValue {
    readonly process: string;
    /** Where it serves the protocol. */
    readonly address: string;
    /** Tells this write from every other, to settle a lost answer. */
    readonly nonce: string;
}

/** All shards of a cell. */
export const allShards = (count: number): ShardId[] =>
    Array.from({ length: count }, (_, index) => shardId(`shard-${index}`));

/** The shard of a text: equal for equal texts in every process. */
export const shardOfText = (text: string, count: number): ShardId => {
    const digest = createHash("sha256").update(text).digest();
    return shardId(`shard-${digest.readUInt32BE(0) % count}`);
};

/** The shard that a job's id names. */
export const shardOfJob = (job: JobId): ShardId => shardId(job.slice(0, job.indexOf(".")));

/** A text that is equal for equal values, whatever the order of their fields. */
export const digestOf = (value: unknown): string =>
    createHash("sha256").update(JSON.stringify(withSortedKeys(value))).digest("hex");

const withSortedKeys = (value: unknown): unknown => {
    if (Array.isArray(value)) {
        return value.map(withSortedKeys);
    }
    if (typeof value === "object" && value !== undefined && value instanceof Object) {
        const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1);
        return Object.fromEntries(entries.map(([key, entry]) => [key, withSortedKeys(entry)]));
    }
    return value;
};
