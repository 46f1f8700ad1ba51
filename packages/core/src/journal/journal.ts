/** Append-only journal of one shard on top of single-key compare-and-swap. */
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import { absentVersion, type KeyVersion, type PlatformStore } from "../platform/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { JournalDamagedError, JournalFencedError } from "./errors.js";
import { RepeatedSwaps } from "./repeated-swap.js";
import { parseSegment, ringKey } from "./segments.js";
import { removeSnapshot, snapshotKey, snapshotName, splitText } from "./snapshots.js";
import type { JournalOptions, Segment, SnapshotPointer } from "./types.js";

/** A snapshot is taken regardless of its cost once this share of the ring is in use. */
const fullShare = 0.6;
/** No more segments are sent once this share of the ring is in use, until a snapshot has freed keys. */
const shortShare = 0.9;

/** An append that is not committed yet. */
interface Waiting {
    readonly records: readonly unknown[];
    readonly bytes: number;
    readonly resolve: () => void;
    readonly reject: (cause: unknown) => void;
}

interface SentSegment {
    readonly group: readonly Waiting[];
    isKept: boolean;
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
    readonly contact: Milliseconds;
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
    readonly #swaps: RepeatedSwaps;
    readonly #versions: Map<number, KeyVersion>;
    /** Segments in flight, by sequence. */
    readonly #sent = new Map<number, SentSegment>();
    /** Sequence of the last segment sent. */
    #sequence: number;
    /** All segments up to this sequence are committed. */
    #keptThrough: number;
    #snapshot: SnapshotPointer | undefined;
    #obsolete: ObsoleteSnapshot | undefined;
    #waiting: Waiting[] = [];
    #isRunning = false;
    #fenced: JournalFencedError | undefined;
    #lastContact: Milliseconds;
    #takeSnapshot: (() => unknown) | undefined;
    #snapshotBytes = 0;
    #bytesSince = 0;
    /** Called whenever segments are committed, and on failure. */
    #progressListeners: (() => void)[] = [];
    /** Resolves once the snapshot in progress is written; undefined when there is none. */
    #snapshotOnItsWay: Promise<void> | undefined;

    constructor(
        private readonly dependencies: JournalDependencies,
        readonly epoch: Epoch,
        { versions, sequence, snapshot, contact }: OpenedJournal,
    ) {
        this.#swaps = new RepeatedSwaps(dependencies);
        this.#versions = versions;
        this.#sequence = sequence;
        this.#keptThrough = sequence;
        this.#snapshot = snapshot;
        this.#lastContact = contact;
    }

    /** Number of write calls to the store. */
    get writes(): number {
        return this.#swaps.calls;
    }

    /** When the last write that confirmed ownership was sent, on the monotonic clock. */
    get lastContact(): Milliseconds {
        return this.#lastContact;
    }

    /** How long writes have been failing; 0 while the store answers. */
    stalledFor(): Milliseconds {
        return this.#swaps.failingFor();
    }

    /** Age of the oldest unanswered write; 0 when there is none. */
    waitingFor(): Milliseconds {
        return this.#swaps.waitingFor();
    }

    /** Time without any answer while writes are in flight; 0 when there are none. */
    silentFor(): Milliseconds {
        return this.#swaps.silentFor();
    }

    /** Sets the function that returns the whole state as plain data. Snapshots are taken only once it is set. */
    setSnapshotSource(source: () => unknown): void {
        this.#takeSnapshot = source;
    }

    /**
     * Appends records as one group; resolves once they are committed.
     * Rejects with {@link JournalFencedError} when another owner has taken over.
     */
    append(records: readonly unknown[]): Promise<void> {
        if (this.#fenced !== undefined) {
            return Promise.reject(this.#fenced);
        }
        return new Promise((resolve, reject) => {
            this.#waiting.push({ records, bytes: Buffer.byteLength(JSON.stringify(records)), resolve, reject });
            if (!this.#isRunning) {
                this.#isRunning = true;
                void this.#run();
            }
        });
    }

    async #run(): Promise<void> {
        const { clock, options, signal } = this.dependencies;
        try {
            while (this.#waiting.length > 0) {
                await this.#snapshotIfDue();
                await this.#untilSent(options.mostOnTheirWay - 1);
                if (this.#waiting.length === 0) {
                    break;
                }
                this.#send(this.#takeGroup(this.#waiting.length));
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
    #untilSent(most: number): Promise<void> {
        return this.#until(() => this.#sent.size <= most);
    }

    /** Waits for a condition that can only become true when a segment is committed. */
    async #until(isTrue: () => boolean): Promise<void> {
        while (!isTrue()) {
            await new Promise<void>(resolve => this.#progressListeners.push(resolve));
            if (this.#fenced !== undefined) {
                throw this.#fenced;
            }
        }
    }

    #noteProgress(): void {
        const listeners = this.#progressListeners;
        this.#progressListeners = [];
        listeners.forEach(listener => listener());
    }

    /** Removes the first pending appends, at most `most` of them and as many as fit into one value. */
    #takeGroup(most: number): Waiting[] {
        let bytes = 0;
        let count = 0;
        while (count < most) {
            bytes += this.#waiting[count].bytes;
            if (count > 0 && bytes > this.dependencies.options.largestBytes) {
                break;
            }
            count++;
        }
        this.#bytesSince += bytes;
        return this.#waiting.splice(0, count);
    }

    #send(group: readonly Waiting[]): void {
        const { shard, options } = this.dependencies;
        const sequence = this.#sequence + 1;
        const sent = { group, isKept: false };
        this.#sent.set(sequence, sent);
        if (sequence - (this.#snapshot?.through ?? 0) >= options.ringSize) {
            throw new JournalDamagedError(`journal ring of shard ${shard} is full: no snapshot has freed a key`);
        }
        this.#sequence = sequence;
        this.#write(this.#makeSegment(sequence, group)).then(
            () => this.#noteKept(sent),
            cause => this.#fail(cause),
        );
    }

    #makeSegment(sequence: number, group: readonly Waiting[]): Segment {
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
            const { outcome, sent } = await this.#swaps.untilAnswered(ringKey(shard, slot), expected, value);
            if (outcome.kind === "swapped") {
                this.#versions.set(slot, outcome.version);
                this.#lastContact = Math.max(this.#lastContact, sent);
                return;
            }
            const { current } = outcome;
            const found = current === undefined ? undefined : parseSegment(current);
            if (current === undefined || found === undefined || found.epoch > this.epoch) {
                throw takenByAnother(segment);
            }
            this.#versions.set(slot, current.version);
            if (found.nonce === segment.nonce) {
                this.#lastContact = Math.max(this.#lastContact, sent);
                return;
            }
            if (found.epoch === this.epoch) {
                throw takenByAnother(segment);
            }
            // A late segment of a former owner after this owner's claim: it is ignored by readers and overwritten here.
        }
    }

    /** Marks a segment as stored and resolves the appends of all segments that are now committed. */
    #noteKept(sent: SentSegment): void {
        sent.isKept = true;
        for (;;) {
            const next = this.#sent.get(this.#keptThrough + 1);
            if (next?.isKept !== true) {
                break;
            }
            this.#keptThrough++;
            this.#sent.delete(this.#keptThrough);
            next.group.forEach(entry => entry.resolve());
        }
        this.#removeObsolete();
        this.#noteProgress();
    }

    #fail(cause: unknown): void {
        this.#fenced ??= cause instanceof JournalFencedError
            ? cause
            : new JournalFencedError(`journal stopped: ${String(cause)}`);
        const refused = [...[...this.#sent.values()].flatMap(sent => sent.group), ...this.#waiting];
        this.#sent.clear();
        this.#waiting = [];
        refused.forEach(entry => entry.reject(this.#fenced));
        this.#noteProgress();
    }

    /**
     * Starts a snapshot when one is due. Segments are still sent while it is written, as it takes two round trips; they wait only
     * when the ring would run out of keys.
     */
    async #snapshotIfDue(): Promise<void> {
        if (this.#takeSnapshot === undefined || !this.#isSnapshotDue()) {
            return;
        }
        if (this.#snapshotOnItsWay === undefined) {
            this.#beginSnapshot(JSON.stringify(this.#takeSnapshot()));
        }
        else if (this.#isRingShort()) {
            await this.#snapshotOnItsWay;
        }
    }

    /**
     * The state already includes the pending records, so they are sent first. The snapshot then equals the journal up to the last
     * of them.
     */
    #beginSnapshot(text: string): void {
        let included = this.#waiting.length;
        while (included > 0) {
            const group = this.#takeGroup(included);
            included -= group.length;
            this.#send(group);
        }
        this.#bytesSince = 0;
        this.#snapshotOnItsWay = this.#writeSnapshot(text, this.#sequence)
            .catch(cause => this.#fail(cause))
            .finally(() => this.#snapshotOnItsWay = undefined);
    }

    /**
     * Writes a snapshot of the state after segment `through`. It takes effect with the next segment, which refers to it; the former
     * snapshot is removed once that segment is committed.
     */
    async #writeSnapshot(text: string, through: number): Promise<void> {
        const name = snapshotName(this.epoch, through, this.dependencies.random.name());
        const parts = await this.#writeParts(name, text);
        await this.#until(() => this.#keptThrough >= through);
        if (this.#snapshot !== undefined) {
            this.#obsolete = { pointer: this.#snapshot, replacedBy: this.#sequence + 1 };
        }
        this.#snapshot = { name, parts, through };
        this.#snapshotBytes = Buffer.byteLength(text);
    }

    /** Writes the parts of a snapshot in parallel and returns their number. */
    async #writeParts(name: string, text: string): Promise<number> {
        const { shard, options } = this.dependencies;
        const parts = splitText(text, options.largestBytes);
        // The name is unique, so a conflict means that an earlier call of this write succeeded.
        await Promise.all(parts.map((part, index) =>
            this.#swaps.untilAnswered(snapshotKey(shard, name, index), absentVersion, part)
        ));
        return parts.length;
    }

    /**
     * Whether to take a snapshot: once the segments since the last one hold as many bytes as it did, so that snapshots at most
     * double the bytes written, or before the ring runs out of keys.
     */
    #isSnapshotDue(): boolean {
        const { snapshotEvery, ringSize, largestBytes } = this.dependencies.options;
        const since = this.#sequence - (this.#snapshot?.through ?? 0);
        if (since < snapshotEvery) {
            return false;
        }
        const waitingBytes = this.#waiting.reduce((sum, entry) => sum + entry.bytes, 0);
        const expected = since + Math.ceil(2 * waitingBytes / largestBytes);
        return this.#bytesSince >= this.#snapshotBytes || expected >= ringSize * fullShare;
    }

    /** Whether the ring is nearly full, so that a snapshot must free keys first. */
    #isRingShort(): boolean {
        const { ringSize, mostOnTheirWay } = this.dependencies.options;
        return this.#sequence - (this.#snapshot?.through ?? 0) >= ringSize * shortShare - mostOnTheirWay;
    }

    #removeObsolete(): void {
        const { store, shard } = this.dependencies;
        if (this.#obsolete !== undefined && this.#keptThrough >= this.#obsolete.replacedBy) {
            const { pointer } = this.#obsolete;
            this.#obsolete = undefined;
            // Not awaited, and failures are ignored: a leftover part only takes up storage.
            void removeSnapshot(store, shard, pointer).catch(() => undefined);
        }
    }
}

const takenByAnother = ({ sequence }: Segment): JournalFencedError =>
    new JournalFencedError(`another owner has written segment ${sequence} of the journal`);
