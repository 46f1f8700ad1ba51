/**
 * Append-only records of one shard over single-key compare-and-swap.
 *
 * Segments lie in a fixed ring of keys that are only ever rewritten, never deleted. An append names the version that
 * it expects the ring's key to have, so a stale owner's append fails however late it arrives (DistributedLog's
 * fencing by sealing, on a ring in place of deletable log segments). The claim of a new owner is itself a segment.
 */
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import {
    absentVersion,
    type KeyValue,
    type KeyVersion,
    type PlatformStore,
    PlatformUnavailableError,
    type SwapOutcome,
} from "../platform/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { JournalDamagedError, JournalFencedError } from "./errors.js";
import type { JournalContents, JournalOptions, Segment, SnapshotPointer } from "./types.js";

/** A ring this full gets a snapshot whatever that costs. */
const fullShare = 0.6;
/** Bytes of UTF-8 that do not begin a character. */
const continuationMask = 0xc0;
const continuationByte = 0x80;

interface Waiting {
    readonly records: readonly unknown[];
    readonly bytes: number;
    readonly resolve: () => void;
    readonly reject: (cause: unknown) => void;
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

const journalPrefix = (shard: ShardId): string => `shards/${shard}/journal/`;
const snapshotPrefix = (shard: ShardId): string => `shards/${shard}/snapshots/`;
const parseSegment = (entry: KeyValue): Segment => JSON.parse(entry.value) as Segment;

/** Writes of one owner to its shard's journal. Made by {@link openJournal}. */
export class Journal {
    readonly #versions: Map<number, KeyVersion>;
    #sequence: number;
    #snapshot: SnapshotPointer | undefined;
    #obsolete: SnapshotPointer | undefined;
    #waiting: Waiting[] = [];
    #running = false;
    #fenced: JournalFencedError | undefined;
    #stalledSince: Milliseconds | undefined;
    /** When the write that is on its way was first sent. */
    #writingSince: Milliseconds | undefined;
    #lastContact: Milliseconds;
    #takeSnapshot: (() => unknown) | undefined;
    #writes = 0;
    #snapshotBytes = 0;
    #bytesSince = 0;

    constructor(
        private readonly dependencies: JournalDependencies,
        readonly epoch: Epoch,
        opened: {
            versions: Map<number, KeyVersion>;
            sequence: number;
            snapshot: SnapshotPointer | undefined;
            contact: Milliseconds;
        },
    ) {
        this.#versions = opened.versions;
        this.#sequence = opened.sequence;
        this.#snapshot = opened.snapshot;
        this.#lastContact = opened.contact;
    }

    /** Number of calls that wrote to the platform. */
    get writes(): number {
        return this.#writes;
    }

    /** When the last write that confirmed ownership was sent, by the monotonic clock. */
    get lastContact(): Milliseconds {
        return this.#lastContact;
    }

    /** How long the platform has not answered; 0 when it answers. */
    stalledFor(): Milliseconds {
        return this.#stalledSince === undefined ? 0 : this.dependencies.clock.monotonic() - this.#stalledSince;
    }

    /** How long the write that is on its way has been without an answer; 0 when none is on its way. */
    waitingFor(): Milliseconds {
        return this.#writingSince === undefined ? 0 : this.dependencies.clock.monotonic() - this.#writingSince;
    }

    /** Gives the function that returns the whole state, in a form that JSON holds, for snapshots. */
    setSnapshotSource(source: () => unknown): void {
        this.#takeSnapshot = source;
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
            this.#waiting.push({ records, bytes: Buffer.byteLength(JSON.stringify(records)), resolve, reject });
            if (!this.#running) {
                this.#running = true;
                void this.#run();
            }
        });
    }

    async #run(): Promise<void> {
        const { clock, options } = this.dependencies;
        try {
            while (this.#waiting.length > 0) {
                await this.#snapshotIfDue();
                if (this.#waiting.length === 0) {
                    break;
                }
                const started = clock.monotonic();
                await this.#writeGroup(this.#waiting.length);
                const rest = options.commitInterval - (clock.monotonic() - started);
                if (rest > 0) {
                    await clock.sleep(rest, this.dependencies.signal);
                }
            }
        }
        catch (cause) {
            this.#fenced = cause instanceof JournalFencedError
                ? cause
                : new JournalFencedError(`stopped: ${String(cause)}`);
            const refused = this.#waiting;
            this.#waiting = [];
            refused.forEach(entry => entry.reject(this.#fenced));
        }
        finally {
            this.#running = false;
        }
    }

    /** Writes the first entries that wait, at most `most` of them and as many as one value holds. */
    async #writeGroup(most: number): Promise<number> {
        const group = this.#takeGroup(most);
        try {
            await this.#write(group.flatMap(entry => entry.records));
            this.#bytesSince += group.reduce((sum, entry) => sum + entry.bytes, 0);
        }
        catch (cause) {
            this.#waiting.unshift(...group);
            throw cause;
        }
        group.forEach(entry => entry.resolve());
        return group.length;
    }

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
        return this.#waiting.splice(0, count);
    }

    async #write(records: readonly unknown[]): Promise<void> {
        const { random, shard, writer, options } = this.dependencies;
        const sequence = this.#sequence + 1;
        if (sequence - (this.#snapshot?.through ?? 0) >= options.ringSize) {
            throw new JournalDamagedError(`the ring of shard ${shard} holds no key that a snapshot has freed`);
        }
        const slot = sequence % options.ringSize;
        const segment: Segment = {
            sequence,
            epoch: this.epoch,
            writer,
            nonce: random.name(),
            snapshot: this.#snapshot,
            records,
        };
        const expected = this.#versions.get(slot) ?? absentVersion;
        const version = await this.#swapUntilSettled(ringKey(shard, slot), expected, segment);
        this.#versions.set(slot, version);
        this.#sequence = sequence;
        this.#removeObsolete();
    }

    /** Repeats one write until its outcome is certain. The nonce tells this write from another owner's. */
    async #swapUntilSettled(key: string, expected: KeyVersion, segment: Segment): Promise<KeyVersion> {
        const { outcome, sent } = await this.#swapUntilAnswered(key, expected, JSON.stringify(segment));
        const current = outcome.kind === "conflict" ? outcome.current : undefined;
        const isOwn = current !== undefined && parseSegment(current).nonce === segment.nonce;
        if (outcome.kind === "conflict" && !isOwn) {
            throw new JournalFencedError(`segment ${segment.sequence} of the journal was taken by another owner`);
        }
        this.#lastContact = sent;
        return outcome.kind === "swapped" ? outcome.version : current!.version;
    }

    /** Repeats one write until it is answered. `sent`: when the answered one was sent. */
    async #swapUntilAnswered(
        key: string,
        expected: KeyVersion,
        value: string,
    ): Promise<{ readonly outcome: SwapOutcome; readonly sent: Milliseconds; }> {
        const { store, clock, options, signal } = this.dependencies;
        while (true) {
            signal.throwIfAborted();
            const sent = clock.monotonic();
            this.#writingSince ??= sent;
            try {
                this.#writes++;
                const outcome = await store.compareAndSwap(key, expected, value);
                this.#stalledSince = undefined;
                this.#writingSince = undefined;
                return { outcome, sent };
            }
            catch (cause) {
                if (!(cause instanceof PlatformUnavailableError)) {
                    throw cause;
                }
                this.#stalledSince ??= sent;
                await clock.sleep(options.retryDelay, signal);
            }
        }
    }

    /**
     * Replaces the segments so far by a snapshot when enough of them have gathered.
     *
     * The state already holds the records that wait at this moment, so these are written first; the snapshot then
     * equals the journal up to the last of them. The pointer counts only from the next segment on, and the former
     * snapshot is removed only after that segment is kept.
     */
    async #snapshotIfDue(): Promise<void> {
        if (this.#takeSnapshot === undefined || !this.#isSnapshotDue()) {
            return;
        }
        const text = JSON.stringify(this.#takeSnapshot());
        let included = this.#waiting.length;
        while (included > 0) {
            included -= await this.#writeGroup(included);
        }
        const through = this.#sequence;
        const name = `${this.epoch}-${through}-${this.dependencies.random.name()}`;
        const parts = splitText(text, this.dependencies.options.largestBytes);
        for (const [index, part] of parts.entries()) {
            // The name is drawn once, so a conflict means that a copy of this very part arrived first.
            await this.#swapUntilAnswered(
                `${snapshotPrefix(this.dependencies.shard)}${name}/${index}`,
                absentVersion,
                part,
            );
        }
        this.#obsolete = this.#snapshot;
        this.#snapshot = { name, parts: parts.length, through };
        this.#snapshotBytes = Buffer.byteLength(text);
        this.#bytesSince = 0;
    }

    /**
     * Whether a snapshot is worth its writes: once the segments since the last one hold as many bytes, so that snapshots
     * at most double what is written, or before the ring runs out of keys.
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

    #removeObsolete(): void {
        const obsolete = this.#obsolete;
        this.#obsolete = undefined;
        if (obsolete !== undefined) {
            // Not awaited: a part left behind costs room only.
            void removeSnapshot(this.dependencies.store, this.dependencies.shard, obsolete).catch(() => undefined);
        }
    }
}

const ringKey = (shard: ShardId, slot: number): string => `${journalPrefix(shard)}${String(slot).padStart(5, "0")}`;

/** Cuts a text into parts of at most `largestBytes` bytes each, never within a character. */
const splitText = (text: string, largestBytes: number): string[] => {
    const bytes = Buffer.from(text);
    const parts: string[] = [];
    let start = 0;
    do {
        let end = Math.min(start + largestBytes, bytes.length);
        while (end < bytes.length && (bytes[end] & continuationMask) === continuationByte) {
            end--;
        }
        parts.push(bytes.toString("utf8", start, end));
        start = end;
    }
    while (start < bytes.length);
    return parts;
};

const removeSnapshot = async (store: PlatformStore, shard: ShardId, pointer: SnapshotPointer): Promise<void> => {
    for (let index = 0; index < pointer.parts; index++) {
        const key = `${snapshotPrefix(shard)}${pointer.name}/${index}`;
        const entry = await store.get(key);
        if (entry !== undefined) {
            await store.remove(key, entry.version);
        }
    }
};

const readSnapshot = async (store: PlatformStore, shard: ShardId, pointer: SnapshotPointer): Promise<unknown> => {
    let text = "";
    for (let index = 0; index < pointer.parts; index++) {
        const entry = await store.get(`${snapshotPrefix(shard)}${pointer.name}/${index}`);
        if (entry === undefined) {
            return undefined;
        }
        text += entry.value;
    }
    return JSON.parse(text);
};

/** All segments of a journal, as they were read. */
interface ReadSegments {
    /** In their order. */
    readonly segments: Segment[];
    /** Versions of the ring's keys, by slot. */
    readonly versions: Map<number, KeyVersion>;
}

const readSegments = async (store: PlatformStore, shard: ShardId): Promise<ReadSegments> => {
    const entries = await store.list(journalPrefix(shard));
    return {
        segments: entries.map(parseSegment).sort((left, right) => left.sequence - right.sequence),
        versions: new Map(entries.map(entry => [Number(entry.key.slice(-5)), entry.version])),
    };
};

/**
 * Reads the segments that a listing in pages passed by: an owner that goes on writing may write one key on a page that was
 * read already and the next on one that is still to come. False when all must be read again.
 */
const fillGaps = async (
    store: PlatformStore,
    shard: ShardId,
    ringSize: number,
    { segments, versions }: ReadSegments,
): Promise<boolean> => {
    const last = segments.at(-1);
    const present = new Set(segments.map(segment => segment.sequence));
    const first = (last?.snapshot?.through ?? 0) + 1;
    for (let sequence = first; sequence < (last?.sequence ?? 0); sequence++) {
        if (present.has(sequence)) {
            continue;
        }
        const slot = sequence % ringSize;
        const entry = await store.get(ringKey(shard, slot));
        const segment = entry === undefined ? undefined : parseSegment(entry);
        if (segment?.sequence !== sequence) {
            return false;
        }
        segments.push(segment);
        versions.set(slot, entry!.version);
    }
    segments.sort((left, right) => left.sequence - right.sequence);
    return true;
};

/**
 * Seals what was read with a claim; undefined when all must be read again.
 *
 * An owner that hands over goes on writing meanwhile. What it wrote since is taken in segment by segment, from the
 * conflicts: reading all again takes longer than its next write.
 */
const seal = async (
    { store, clock, random, shard, writer, options }: JournalDependencies,
    { segments, versions }: ReadSegments,
): Promise<{ readonly claim: Segment; readonly contact: Milliseconds; } | undefined> => {
    const pointer = segments.at(-1)?.snapshot;
    while (true) {
        const last = segments.at(-1);
        const claim: Segment = {
            sequence: (last?.sequence ?? 0) + 1,
            epoch: ((last?.epoch ?? 0) + 1) as Epoch,
            writer,
            nonce: random.name(),
            snapshot: pointer,
            records: [],
        };
        const slot = claim.sequence % options.ringSize;
        const contact = clock.monotonic();
        const expected = versions.get(slot) ?? absentVersion;
        const outcome = await store.compareAndSwap(ringKey(shard, slot), expected, JSON.stringify(claim));
        if (outcome.kind === "swapped") {
            versions.set(slot, outcome.version);
            return { claim, contact };
        }
        const next = outcome.current === undefined ? undefined : parseSegment(outcome.current);
        if (next?.sequence !== claim.sequence || next.snapshot?.name !== pointer?.name) {
            return undefined;
        }
        segments.push(next);
        versions.set(slot, outcome.current!.version);
    }
};

/**
 * Claims a shard's journal: seals it against the former owner and reads all it holds.
 * Rejects with {@link PlatformUnavailableError} when the platform does not answer; then nothing may be assumed.
 */
export const openJournal = async (
    dependencies: JournalDependencies,
): Promise<{ journal: Journal; contents: JournalContents; }> => {
    const { store, shard } = dependencies;
    while (true) {
        dependencies.signal.throwIfAborted();
        const read = await readSegments(store, shard);
        if (!await fillGaps(store, shard, dependencies.options.ringSize, read)) {
            continue;
        }
        const pointer = read.segments.at(-1)?.snapshot;
        const snapshot = pointer === undefined ? undefined : await readSnapshot(store, shard, pointer);
        const sealed = await seal(dependencies, read);
        if (sealed === undefined) {
            continue;
        }
        if (pointer !== undefined && snapshot === undefined) {
            throw new JournalDamagedError(`snapshot ${pointer.name} of shard ${shard} is not complete`);
        }
        const { claim, contact } = sealed;
        const records = read.segments
            .filter(segment => segment.sequence > (pointer?.through ?? 0))
            .flatMap(segment => segment.records);
        const journal = new Journal(dependencies, claim.epoch, {
            versions: read.versions,
            sequence: claim.sequence,
            snapshot: pointer,
            contact,
        });
        return { journal, contents: { epoch: claim.epoch, snapshot, records } };
    }
};
