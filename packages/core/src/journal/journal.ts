/**
 * Append-only records of one shard over single-key compare-and-swap.
 *
 * Segments lie in a fixed ring of keys that are only ever rewritten, never deleted. An append names the version that
 * it expects the ring's key to have, so a stale owner's append fails however late it arrives (DistributedLog's
 * fencing by sealing, on a ring in place of deletable log segments). The claim of a new owner is itself a segment.
 *
 * Several segments may be on their way at once; a record is told to be kept when its segment and all before it are.
 */
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import { absentVersion, type KeyVersion, type PlatformStore } from "../platform/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { JournalDamagedError, JournalFencedError } from "./errors.js";
import { HedgedWriter } from "./repeated-swap.js";
import { parseSegment, ringKey } from "./segments.js";
import { removeSnapshot, snapshotKey, snapshotName, splitText } from "./snapshots.js";
import type { JournalOptions, Segment, SnapshotPointer } from "./types.js";

/** A ring this full gets a snapshot whatever that costs. */
const snapshotFillRatio = 0.6;
/** A ring this full takes no more segments before a snapshot has freed keys. */
const blockingFillRatio = 0.9;

/** Records of one append that are not kept yet. */
interface PendingAppend {
    readonly records: readonly unknown[];
    readonly bytes: number;
    readonly resolve: () => void;
    readonly reject: (cause: unknown) => void;
}

/** One segment that is on its way. */
interface InFlightSegment {
    readonly group: readonly PendingAppend[];
    isCommitted: boolean;
}

/** A snapshot that a newer one replaces, once a segment that names that one is kept. */
interface ObsoleteSnapshot {
    readonly pointer: SnapshotPointer;
    /** The first segment that names the newer one. */
    readonly replacedBy: number;
}

/** Where the journal lives and what it needs. */
export interface JournalDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly random: Random;
    readonly shard: ShardId;
    readonly writer: ProcessId;
    readonly options: JournalOptions;
    readonly signal: AbortSignal;
}

/** What a journal was found to hold when it was opened. */
export interface OpenedJournal {
    /** Versions of the ring's keys, by slot. */
    readonly versions: Map<number, KeyVersion>;
    /** The last segment. */
    readonly sequence: number;
    readonly snapshot: SnapshotPointer | undefined;
    /** When the claim was sent, by the monotonic clock. */
    readonly claimSentAt: Milliseconds;
}

/** Writes of one owner to its shard's journal. Made by {@link openJournal}. */
export class Journal {
    readonly #writer: HedgedWriter;
    readonly #versions: Map<number, KeyVersion>;
    /** Segments on their way, by sequence. */
    readonly #inFlight = new Map<number, InFlightSegment>();
    /** The last segment that was sent. */
    #sequence: number;
    /** All segments up to this one are kept. */
    #committedThrough: number;
    #snapshot: SnapshotPointer | undefined;
    #obsolete: ObsoleteSnapshot | undefined;
    #pending: PendingAppend[] = [];
    #isRunning = false;
    #fenced: JournalFencedError | undefined;
    #lastContact: Milliseconds;
    #snapshotSource: (() => unknown) | undefined;
    #snapshotBytes = 0;
    #bytesSinceSnapshot = 0;
    /** Wake what waits for a segment to be kept. */
    #progressListeners: (() => void)[] = [];
    /** Resolves once the snapshot that is on its way is written; undefined when none is. */
    #snapshotWrite: Promise<void> | undefined;

    constructor(
        private readonly dependencies: JournalDependencies,
        readonly epoch: Epoch,
        { versions, sequence, snapshot, claimSentAt: contact }: OpenedJournal,
    ) {
        this.#writer = new HedgedWriter(dependencies);
        this.#versions = versions;
        this.#sequence = sequence;
        this.#committedThrough = sequence;
        this.#snapshot = snapshot;
        this.#lastContact = contact;
    }

    /** Number of calls that wrote to the platform. */
    get writes(): number {
        return this.#writer.calls;
    }

    /** When the last write that confirmed ownership was sent, by the monotonic clock. */
    get lastContact(): Milliseconds {
        return this.#lastContact;
    }

    /** How long the platform has not answered; 0 when it answers. */
    stalledFor(): Milliseconds {
        return this.#writer.failingFor();
    }

    /** How long the oldest write that is on its way has been without an answer; 0 when none is. */
    waitingFor(): Milliseconds {
        return this.#writer.waitingFor();
    }

    /** How long no write has been answered while some wait; 0 when none is on its way. */
    silentFor(): Milliseconds {
        return this.#writer.silentFor();
    }

    /** Gives the function that returns the whole state, in a form that JSON holds, for snapshots. */
    setSnapshotSource(source: () => unknown): void {
        this.#snapshotSource = source;
    }

    /**
     * Writes records as one group; resolves when they are kept.
     * Rejects with {@link JournalFencedError} when another owner has taken over.
     */
    append(records: readonly unknown[]): Promise<void> {
        if (this.#fenced !== undefined) {
            return Promise.reject(this.#fenced);
        }
        return new Promise((resolve, reject) => {
            this.#pending.push({ records, bytes: Buffer.byteLength(JSON.stringify(records)), resolve, reject });
            if (!this.#isRunning) {
                this.#isRunning = true;
                void this.#run();
            }
        });
    }

    async #run(): Promise<void> {
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

    /** Waits until at most this many segments are on their way. */
    #untilInFlight(most: number): Promise<void> {
        return this.#until(() => this.#inFlight.size <= most);
    }

    /** Waits for a condition that can only become true when a segment is kept. */
    async #until(isTrue: () => boolean): Promise<void> {
        while (!isTrue()) {
            await new Promise<void>(resolve => this.#progressListeners.push(resolve));
            if (this.#fenced !== undefined) {
                throw this.#fenced;
            }
        }
    }

    #notifyProgress(): void {
        const listeners = this.#progressListeners;
        this.#progressListeners = [];
        listeners.forEach(listener => listener());
    }

    /** Takes the first entries that wait, at most `most` of them and as many as one value holds. */
    #dequeueGroup(most: number): PendingAppend[] {
        let bytes = 0;
        let count = 0;
        while (count < most) {
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
        const sent = { group, isCommitted: false };
        this.#inFlight.set(sequence, sent);
        if (sequence - (this.#snapshot?.through ?? 0) >= options.ringSize) {
            throw new JournalDamagedError(`the ring of shard ${shard} holds no key that a snapshot has freed`);
        }
        this.#sequence = sequence;
        this.#write(this.#makeSegment(sequence, group)).then(
            () => this.#markCommitted(sent),
            cause => this.#fail(cause),
        );
    }

    #makeSegment(sequence: number, group: readonly PendingAppend[]): Segment {
        const { random, writer } = this.dependencies;
        const records = group.flatMap(entry => entry.records);
        return { sequence, epoch: this.epoch, writer, nonce: random.name(), snapshot: this.#snapshot, records };
    }

    /** Writes one segment until it is kept. The nonce tells this write from another owner's. */
    async #write(segment: Segment): Promise<void> {
        const { shard, options } = this.dependencies;
        const slot = segment.sequence % options.ringSize;
        const value = JSON.stringify(segment);
        while (true) {
            const expected = this.#versions.get(slot) ?? absentVersion;
            const { outcome, sentAt: sent } = await this.#writer.write(ringKey(shard, slot), expected, value);
            if (outcome.kind === "swapped") {
                this.#versions.set(slot, outcome.version);
                this.#lastContact = Math.max(this.#lastContact, sent);
                return;
            }
            const { current } = outcome;
            const found = current === undefined ? undefined : parseSegment(current);
            if (current === undefined || found === undefined || found.epoch > this.epoch) {
                throw createFencedError(segment);
            }
            this.#versions.set(slot, current.version);
            if (found.nonce === segment.nonce) {
                this.#lastContact = Math.max(this.#lastContact, sent);
                return;
            }
            if (found.epoch === this.epoch) {
                throw createFencedError(segment);
            }
            // An earlier owner's segment that arrived late, beyond this owner's claim: it does not count.
        }
    }

    /** Tells of all that is kept without a gap. */
    #markCommitted(sent: InFlightSegment): void {
        sent.isCommitted = true;
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
        this.#fenced ??= cause instanceof JournalFencedError
            ? cause
            : new JournalFencedError(`stopped: ${String(cause)}`);
        const refused = [...[...this.#inFlight.values()].flatMap(sent => sent.group), ...this.#pending];
        this.#inFlight.clear();
        this.#pending = [];
        refused.forEach(entry => entry.reject(this.#fenced));
        this.#notifyProgress();
    }

    /**
     * Has the segments so far replaced by a snapshot when enough of them have gathered. Segments go on meanwhile, unless the
     * ring's keys would run out: a snapshot takes two answers of the store, in which nothing would be kept.
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
     * The state already holds the records that wait at this moment, so these are sent first; the snapshot then equals the
     * journal up to the last of them.
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
     * Writes a snapshot of the state after segment `through`. Its pointer counts only from the next segment on, and the
     * former snapshot is removed only after that segment is kept.
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

    /** Writes the parts of a snapshot side by side; returns their number. */
    async #writeParts(name: string, text: string): Promise<number> {
        const { shard, options } = this.dependencies;
        const parts = splitText(text, options.maxValueBytes);
        // The name is drawn once, so a conflict means that a copy of this very part arrived first.
        await Promise.all(parts.map((part, index) =>
            this.#writer.write(snapshotKey(shard, name, index), absentVersion, part)
        ));
        return parts.length;
    }

    /**
     * Whether a snapshot is worth its writes: once the segments since the last one hold as many bytes, so that snapshots
     * at most double what is written, or before the ring runs out of keys.
     */
    #isSnapshotDue(): boolean {
        const { snapshotEvery, ringSize, maxValueBytes: largestBytes } = this.dependencies.options;
        const since = this.#sequence - (this.#snapshot?.through ?? 0);
        if (since < snapshotEvery) {
            return false;
        }
        const waitingBytes = this.#pending.reduce((sum, entry) => sum + entry.bytes, 0);
        const expected = since + Math.ceil(2 * waitingBytes / largestBytes);
        return this.#bytesSinceSnapshot >= this.#snapshotBytes || expected >= ringSize * snapshotFillRatio;
    }

    /** Whether the keys of the ring are nearly used up, so that a snapshot has to free some first. */
    #isRingNearlyFull(): boolean {
        const { ringSize, maxInFlight: mostOnTheirWay } = this.dependencies.options;
        return this.#sequence - (this.#snapshot?.through ?? 0) >= ringSize * blockingFillRatio - mostOnTheirWay;
    }

    #removeObsolete(): void {
        const { store, shard } = this.dependencies;
        if (this.#obsolete !== undefined && this.#committedThrough >= this.#obsolete.replacedBy) {
            const { pointer } = this.#obsolete;
            this.#obsolete = undefined;
            // Not awaited: a part left behind costs room only.
            void removeSnapshot(store, shard, pointer).catch(() => undefined);
        }
    }
}

const createFencedError = ({ sequence }: Segment): JournalFencedError =>
    new JournalFencedError(`segment ${sequence} of the journal was taken by another owner`);
