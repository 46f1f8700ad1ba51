/** Append-only journal of one shard on top of single-key compare-and-swap. */
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import { absentVersion, type KeyVersion, type PlatformStore } from "../platform/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { JournalDamagedError, JournalFencedError } from "./errors.js";
import { HedgedWriter } from "./hedged-writer.js";
import { parseSegment, ringKey } from "./segments.js";
import { removeSnapshot, snapshotKey, snapshotName, splitText } from "./snapshots.js";
import type { JournalOptions, Segment, SnapshotPointer } from "./types.js";

/** A snapshot is taken regardless of its cost once this share of the ring is in use. */
const snapshotFillRatio = 0.6;
/** No more segments are sent once this share of the ring is in use, until a snapshot has freed keys. */
const blockingFillRatio = 0.9;

/** An append that is not committed yet. */
interface PendingAppend {
    readonly records: readonly unknown[];
    readonly bytes: number;
    readonly resolve: () => void;
    readonly reject: (cause: unknown) => void;
}

interface InFlightSegment {
    readonly group: readonly PendingAppend[];
    isCommitted: boolean;
}

/** A snapshot to be removed once a segment that refers to its replacement is committed. */
interface ObsoleteSnapshot {
    readonly pointer: SnapshotPointer;
    /** Sequence of the first segment that refers to the newer snapshot. */
    readonly replacedBy: number;
}

/** Dependencies and identity of a journal's writer. */
export interface JournalDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly random: Random;
    readonly shard: ShardId;
    readonly writer: ProcessId;
    readonly options: JournalOptions;
    readonly signal: AbortSignal;
}

/** State of a journal's keys when it was opened. */
export interface OpenedJournal {
    /** Versions of the ring's keys by slot. */
    readonly versions: Map<number, KeyVersion>;
    /** Sequence of the last segment, which is this owner's claim. */
    readonly sequence: number;
    readonly snapshot: SnapshotPointer | undefined;
    /** When the claim was sent, on the monotonic clock. */
    readonly claimSentAt: Milliseconds;
}

/**
 * Writes one owner's records to its shard's journal. Created by {@link openJournal}.
 *
 * Segments are stored in a fixed ring of keys that are overwritten but never deleted. Each write names the version it expects
 * the key to have, so that a write of a stale owner fails however late it arrives (fencing by sealing as in DistributedLog, on
 * a ring instead of deletable segments). The claim of a new owner is itself a segment.
 *
 * Several segments may be in flight; a record is committed once its segment and all segments before it are stored.
 */
export class Journal {
    readonly #writer: HedgedWriter;
    readonly #versions: Map<number, KeyVersion>;
    /** Segments in flight, by sequence. */
    readonly #inFlight = new Map<number, InFlightSegment>();
    /** Sequence of the last segment sent. */
    #sequence: number;
    /** All segments up to this sequence are committed. */
    #committedThrough: number;
    #snapshot: SnapshotPointer | undefined;
    #obsolete: ObsoleteSnapshot | undefined;
    #pending: PendingAppend[] = [];
    #isRunning = false;
    /** Why this owner cannot write any more. */
    #failure: Error | undefined;
    #lastContact: Milliseconds;
    #snapshotSource: (() => unknown) | undefined;
    #snapshotBytes = 0;
    #bytesSinceSnapshot = 0;
    /** Called whenever segments are committed, and on failure. */
    #progressListeners: (() => void)[] = [];
    /** Resolves once the snapshot in progress is written; undefined when there is none. */
    #snapshotWrite: Promise<void> | undefined;

    constructor(
        private readonly dependencies: JournalDependencies,
        readonly epoch: Epoch,
        { versions, sequence, snapshot, claimSentAt }: OpenedJournal,
    ) {
        this.#writer = new HedgedWriter(dependencies);
        this.#versions = versions;
        this.#sequence = sequence;
        this.#committedThrough = sequence;
        this.#snapshot = snapshot;
        this.#lastContact = claimSentAt;
    }

    /** Number of write calls to the store. */
    get writes(): number {
        return this.#writer.calls;
    }

    /** When the last write that confirmed ownership was sent, on the monotonic clock. */
    get lastContact(): Milliseconds {
        return this.#lastContact;
    }

    /** How long writes have been failing; 0 while the store answers. */
    stalledFor(): Milliseconds {
        return this.#writer.failingFor();
    }

    /** Age of the oldest unanswered write; 0 when there is none. */
    waitingFor(): Milliseconds {
        return this.#writer.waitingFor();
    }

    /** Time without any answer while writes are in flight; 0 when there are none. */
    silentFor(): Milliseconds {
        return this.#writer.silentFor();
    }

    /** Whether writes have been without any answer for longer than answers usually take: the store may have gone silent. */
    isOverdue(): boolean {
        return this.#writer.isOverdue();
    }

    /** Sets the function that returns the whole state as plain data. Snapshots are taken only once it is set. */
    setSnapshotSource(source: () => unknown): void {
        this.#snapshotSource = source;
    }

    /**
     * Appends records as one group; resolves once they are committed.
     * Rejects with {@link JournalFencedError} when another owner has taken over, and with the cause of any other failure to write.
     */
    append(records: readonly unknown[]): Promise<void> {
        if (this.#failure !== undefined) {
            return Promise.reject(this.#failure);
        }
        return new Promise((resolve, reject) => {
            this.#pending.push({ records, bytes: Buffer.byteLength(JSON.stringify(records)), resolve, reject });
            if (!this.#isRunning) {
                this.#isRunning = true;
                void this.#sendPending();
            }
        });
    }

    async #sendPending(): Promise<void> {
        const { clock, options, signal } = this.dependencies;
        try {
            while (this.#pending.length > 0) {
                await this.#snapshotIfDue();
                await this.#untilInFlight(options.maxInFlight - 1);
                if (this.#pending.length === 0) {
                    break;
                }
                this.#send(this.#dequeueGroup(this.#pending.length));
                await clock.sleep(options.commitInterval, signal);
            }
        }
        catch (cause) {
            this.#fail(cause);
        }
        finally {
            this.#isRunning = false;
        }
    }

    /** Waits until at most this many segments are in flight. */
    #untilInFlight(limit: number): Promise<void> {
        return this.#until(() => this.#inFlight.size <= limit);
    }

    /** Waits for a condition that can only become true when a segment is committed. */
    async #until(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise<void>(resolve => this.#progressListeners.push(resolve));
            if (this.#failure !== undefined) {
                throw this.#failure;
            }
        }
    }

    #notifyProgress(): void {
        const listeners = this.#progressListeners;
        this.#progressListeners = [];
        listeners.forEach(listener => listener());
    }

    /** Removes the first pending appends, at most `limit` of them and as many as fit into one value. */
    #dequeueGroup(limit: number): PendingAppend[] {
        let bytes = 0;
        let count = 0;
        while (count < limit) {
            bytes += this.#pending[count].bytes;
            if (count > 0 && bytes > this.dependencies.options.maxValueBytes) {
                break;
            }
            count++;
        }
        this.#bytesSinceSnapshot += bytes;
        return this.#pending.splice(0, count);
    }

    #send(group: readonly PendingAppend[]): void {
        const { shard, options } = this.dependencies;
        const sequence = this.#sequence + 1;
        const segment = { group, isCommitted: false };
        this.#inFlight.set(sequence, segment);
        if (sequence - (this.#snapshot?.through ?? 0) >= options.ringSize) {
            throw new JournalDamagedError(`journal ring of shard ${shard} is full: no snapshot has freed a key`);
        }
        this.#sequence = sequence;
        this.#write(this.#makeSegment(sequence, group)).then(
            () => this.#markCommitted(segment),
            cause => this.#fail(cause),
        );
    }

    #makeSegment(sequence: number, group: readonly PendingAppend[]): Segment {
        const { random, writer } = this.dependencies;
        const records = group.flatMap(entry => entry.records);
        return { sequence, epoch: this.epoch, writer, nonce: random.name(), snapshot: this.#snapshot, records };
    }

    /** Writes one segment. The nonce tells whether a stored segment is this write, whose answer was lost. */
    async #write(segment: Segment): Promise<void> {
        const { shard, options } = this.dependencies;
        const slot = segment.sequence % options.ringSize;
        const value = JSON.stringify(segment);
        while (true) {
            const expected = this.#versions.get(slot) ?? absentVersion;
            const { outcome, sentAt } = await this.#writer.write(ringKey(shard, slot), expected, value);
            if (outcome.kind === "swapped") {
                this.#versions.set(slot, outcome.version);
                this.#lastContact = Math.max(this.#lastContact, sentAt);
                return;
            }
            const { current } = outcome;
            const found = current && parseSegment(current);
            if (current === undefined || found !== undefined && found.epoch > this.epoch) {
                throw createFencedError(segment);
            }
            this.#versions.set(slot, current.version);
            if (found?.nonce === segment.nonce) {
                this.#lastContact = Math.max(this.#lastContact, sentAt);
                return;
            }
            if (found?.epoch === this.epoch) {
                throw createFencedError(segment);
            }
            // A late segment of a former owner after this owner's claim, or a value of another writer: readers ignore it, and it
            // is overwritten here.
        }
    }

    /** Marks a segment as stored and resolves the appends of all segments that are now committed. */
    #markCommitted(segment: InFlightSegment): void {
        segment.isCommitted = true;
        for (;;) {
            const next = this.#inFlight.get(this.#committedThrough + 1);
            if (next?.isCommitted !== true) {
                break;
            }
            this.#committedThrough++;
            this.#inFlight.delete(this.#committedThrough);
            next.group.forEach(entry => entry.resolve());
        }
        this.#removeObsolete();
        this.#notifyProgress();
    }

    #fail(cause: unknown): void {
        this.#failure ??= cause instanceof Error ? cause : new Error(`the journal has stopped: ${String(cause)}`);
        const refused = [...[...this.#inFlight.values()].flatMap(sent => sent.group), ...this.#pending];
        this.#inFlight.clear();
        this.#pending = [];
        refused.forEach(entry => entry.reject(this.#failure));
        this.#notifyProgress();
    }

    /**
     * Starts a snapshot when one is due. Segments are still sent while it is written, as it takes two round trips; they wait only
     * when the ring would run out of keys.
     */
    async #snapshotIfDue(): Promise<void> {
        if (this.#snapshotSource === undefined || !this.#isSnapshotDue()) {
            return;
        }
        if (this.#snapshotWrite === undefined) {
            this.#beginSnapshot(JSON.stringify(this.#snapshotSource()));
        }
        else if (this.#isRingNearlyFull()) {
            await this.#snapshotWrite;
        }
    }

    /**
     * The state already includes the pending records, so they are sent first. The snapshot then equals the journal up to the last
     * of them.
     */
    #beginSnapshot(text: string): void {
        let included = this.#pending.length;
        while (included > 0) {
            const group = this.#dequeueGroup(included);
            included -= group.length;
            this.#send(group);
        }
        this.#bytesSinceSnapshot = 0;
        this.#snapshotWrite = this.#writeSnapshot(text, this.#sequence)
            .catch(cause => this.#fail(cause))
            .finally(() => this.#snapshotWrite = undefined);
    }

    /**
     * Writes a snapshot of the state after segment `through`. It takes effect with the next segment, which refers to it; the former
     * snapshot is removed once that segment is committed.
     */
    async #writeSnapshot(text: string, through: number): Promise<void> {
        const name = snapshotName(this.epoch, through, this.dependencies.random.name());
        const parts = await this.#writeParts(name, text);
        await this.#until(() => this.#committedThrough >= through);
        if (this.#snapshot !== undefined) {
            this.#obsolete = { pointer: this.#snapshot, replacedBy: this.#sequence + 1 };
        }
        this.#snapshot = { name, parts, through };
        this.#snapshotBytes = Buffer.byteLength(text);
    }

    /** Writes the parts of a snapshot in parallel and returns their number. */
    async #writeParts(name: string, text: string): Promise<number> {
        const { shard, options } = this.dependencies;
        const parts = splitText(text, options.maxValueBytes);
        // The name is unique, so a conflict means that an earlier call of this write succeeded.
        await Promise.all(parts.map((part, index) =>
            this.#writer.write(snapshotKey(shard, name, index), absentVersion, part)
        ));
        return parts.length;
    }

    /**
     * Whether to take a snapshot: once the segments since the last one hold as many bytes as it did, so that snapshots at most
     * double the bytes written, or before the ring runs out of keys.
     */
    #isSnapshotDue(): boolean {
        const { snapshotEvery, ringSize, maxValueBytes } = this.dependencies.options;
        const since = this.#sequence - (this.#snapshot?.through ?? 0);
        if (since < snapshotEvery) {
            return false;
        }
        const waitingBytes = this.#pending.reduce((sum, entry) => sum + entry.bytes, 0);
        const expected = since + Math.ceil(2 * waitingBytes / maxValueBytes);
        return this.#bytesSinceSnapshot >= this.#snapshotBytes || expected >= ringSize * snapshotFillRatio;
    }

    /** Whether the ring is nearly full, so that a snapshot must free keys first. */
    #isRingNearlyFull(): boolean {
        const { ringSize, maxInFlight } = this.dependencies.options;
        return this.#sequence - (this.#snapshot?.through ?? 0) >= ringSize * blockingFillRatio - maxInFlight;
    }

    #removeObsolete(): void {
        const { store, shard } = this.dependencies;
        if (this.#obsolete !== undefined && this.#committedThrough >= this.#obsolete.replacedBy) {
            const { pointer } = this.#obsolete;
            this.#obsolete = undefined;
            // Not awaited, and failures are ignored: a leftover part only takes up storage.
            void removeSnapshot(store, shard, pointer).catch(() => undefined);
        }
    }
}

const createFencedError = ({ sequence }: Segment): JournalFencedError =>
    new JournalFencedError(`another owner has written segment ${sequence} of the journal`);
