/** Mapping of keys, jobs and racks to shards. */
import { type JobId, type ShardId, shardId } from "@pebbledale/core";
import { createHash } from "node:crypto";

/** Prefix of the platform keys that hold the owners of the shards. */
export const ownersPrefix = "owners/";
/** Returns the platform key that holds the owner of a shard. */
export const ownerKeyOf = (shard: ShardId): string => `${ownersPrefix}${shard}`;

/** Value of an owner key, written by the owner of the shard. */
export interface OwnerValue {
    readonly process: string;
    /** Address at which the owner serves the protocol. */
    readonly address: string;
    /** Unique for each write, so that a writer whose answer was lost can recognise its own value. */
    readonly nonce: string;
}

/** Returns the ids of all shards of a cell that has `count` of them. */
export const allShards = (count: number): ShardId[] =>
    Array.from({ length: count }, (_, index) => shardId(`shard-${index}`));

/** Returns the shard of a text by its hash, the same in every process. */
export const shardOfText = (text: string, count: number): ShardId => {
    const digest = createHash("sha256").update(text).digest();
    return shardId(`shard-${digest.readUInt32BE(0) % count}`);
};

/** Returns the shard of a job, which is the part of its id before the first dot. */
export const shardOfJob = (job: JobId): ShardId => shardId(job.slice(0, job.indexOf(".")));

/** Returns a SHA-256 digest of a JSON value that does not depend on the order of its keys. */
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
