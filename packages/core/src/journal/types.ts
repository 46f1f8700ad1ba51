/** Stored form of the journal. */
import type { Epoch, ProcessId } from "../ids/index.js";
import type { Milliseconds } from "../time/index.js";

/** Where the newest snapshot stands and which segments it replaces. */
export interface SnapshotPointer {
    readonly name: string;
    readonly parts: number;
    /** The last segment whose records the snapshot holds. */
    readonly through: number;
}

/** One write of the journal. */
export interface Segment {
    readonly sequence: number;
    readonly epoch: Epoch;
    readonly writer: ProcessId;
    /** Tells this write from every other, to settle a lost answer. */
    readonly nonce: string;
    readonly snapshot: SnapshotPointer | undefined;
    readonly records: readonly unknown[];
}

/** Sizes and times of the journal. */
export interface JournalOptions {
    /** Number of keys of the ring. */
    readonly ringSize: number;
    /** A snapshot is taken after this many segments. */
    readonly snapshotEvery: number;
    /** Least time between two writes: bounds the calls of a shard. */
    readonly commitInterval: Milliseconds;
    /** Wait before a write all of whose calls have failed is sent again. */
    readonly retryDelay: Milliseconds;
    /** A write that has no answer for this long is sent again beside the first; undefined: only after that has failed. */
    readonly repeatAfter: Milliseconds | undefined;
    /** Most segments that are on their way at once: a slow store then delays a record by one answer, not by two. */
    readonly maxInFlight: number;
    /** Largest segment or snapshot part in bytes. */
    readonly maxValueBytes: number;
}

/** What an opened journal held. */
export interface JournalContents {
    readonly epoch: Epoch;
    readonly snapshot: unknown;
    readonly records: readonly unknown[];
}
