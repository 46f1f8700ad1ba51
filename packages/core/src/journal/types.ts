/** Stored types and options of the journal. */
import type { Epoch, ProcessId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** Refers to a stored snapshot and the segments it replaces. */
export interface SnapshotPointer {
    readonly name: string;
    readonly parts: number;
    /** Sequence of the last segment whose records the snapshot includes. */
    readonly through: number;
}

/** One write to the journal. */
export interface Segment {
    readonly sequence: number;
    readonly epoch: Epoch;
    readonly writer: ProcessId;
    /** Unique per write; tells after a lost answer whether the write succeeded. */
    readonly nonce: string;
    readonly snapshot: SnapshotPointer | undefined;
    readonly records: readonly unknown[];
}

/** Sizes and intervals of the journal. */
export interface JournalOptions {
    /** Number of keys in the ring. */
    readonly ringSize: number;
    /** Minimum number of segments between two snapshots. */
    readonly snapshotEvery: number;
    /** Minimum time between two writes, which bounds the call rate of a shard. */
    readonly commitInterval: Milliseconds;
    /** Delay before a write whose calls have all failed is retried. */
    readonly retryDelay: Milliseconds;
    /** Shortest delay before an unanswered write is sent again in parallel; undefined to send again only after a failure. */
    readonly repeatAfter: Milliseconds | undefined;
    /** Maximum number of segments in flight. With several, a slow store delays a record by one round trip instead of two. */
    readonly maxInFlight: number;
    /** Maximum size of a segment or snapshot part in bytes. */
    readonly maxValueBytes: number;
}

/** Contents of a journal when it was opened. */
export interface JournalContents {
    readonly epoch: Epoch;
    readonly snapshot: unknown;
    readonly records: readonly unknown[];
}
