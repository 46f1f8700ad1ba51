/** Reading and sealing of the journal's segments. */
import type { Epoch, ProcessId, ShardId } from "../ids/index.js";
import { absentVersion, type KeyValue, type KeyVersion, type PlatformStore } from "../platform/index.js";
import type { Random } from "../random/index.js";
import type { Clock, Milliseconds } from "../time/index.js";
import { JournalDamagedError } from "./errors.js";
import { parseSegment, ringKey, sectionPrefixes, ringSlotOf } from "./segments.js";
import { epochOfSnapshot } from "./snapshots.js";
import type { Segment, SnapshotPointer } from "./types.js";

/** Dependencies and identity of the process that reads and seals a journal. */
export interface ChainDependencies {
    readonly store: PlatformStore;
    readonly clock: Clock;
    readonly random: Random;
    readonly shard: ShardId;
    readonly writer: ProcessId;
    readonly ringSize: number;
    /** Maximum number of segments that an owner has in flight. */
    readonly maxInFlight: number;
}

/** The claim segment that sealed a journal, and when it was sent. */
export interface Seal {
    readonly claim: Segment;
    readonly sentAt: Milliseconds;
}

/**
 * The valid segments of a journal, in order.
 *
 * An owner sends several segments at once and reports one as committed only when all before it are. Segments after a gap were
 * never reported as committed and are ignored, and so are segments that a former owner wrote after a later owner's claim. Keys that
 * another writer has left below the journal's prefix are ignored, and their values overwritten where a segment belongs.
 */
export class SegmentChain {
    /** Versions of the ring's keys by slot. */
    readonly versions = new Map<number, KeyVersion>();
    /** The newest snapshot that any segment refers to. */
    readonly pointer: SnapshotPointer | undefined;
    /** The valid segments after the snapshot, in order. */
    readonly segments: Segment[] = [];
    /** Keys below the journal's prefix that hold no segment. */
    readonly unreadableKeys: string[] = [];
    readonly #segmentsBySequence = new Map<number, Segment>();
    #highestEpoch = 0;

    constructor(private readonly dependencies: ChainDependencies, entries: readonly KeyValue[]) {
        let pointer: SnapshotPointer | undefined;
        for (const entry of entries) {
            const slot = ringSlotOf(dependencies.shard, entry.key);
            const segment = slot === undefined ? undefined : this.#addSegment(slot, entry);
            if (segment === undefined) {
                this.unreadableKeys.push(entry.key);
            }
            else if ((segment.snapshot?.through ?? 0) > (pointer?.through ?? 0)) {
                pointer = segment.snapshot;
            }
        }
        this.pointer = pointer;
    }

    /** Appends the consecutive segments read so far; false when the journal must be read again. */
    async extend(): Promise<boolean> {
        const last = Math.max(0, ...this.#segmentsBySequence.keys());
        while (this.#nextSequence <= last) {
            const segment = this.#segmentsBySequence.get(this.#nextSequence) ?? await this.#readMissed(this.#nextSequence);
            if (segment === "overwritten") {
                return false;
            }
            if (segment === undefined || segment.epoch < this.#lastEpoch) {
                this.#checkGap(last);
                break;
            }
            this.segments.push(segment);
        }
        return true;
    }

    /** Rejects a gap in the place of a value of another writer after which more segments follow than an owner has in flight. */
    #checkGap(last: number): void {
        const { shard, ringSize, maxInFlight } = this.dependencies;
        const key = ringKey(shard, this.#nextSequence % ringSize);
        if (last - this.#nextSequence > maxInFlight && this.unreadableKeys.includes(key)) {
            throw new JournalDamagedError(`key ${key} holds no segment: another writer has overwritten a committed one`);
        }
    }

    /**
     * Seals the chain with a claim; undefined when the journal must be read again.
     *
     * During a handover the former owner keeps writing. Segments that it wrote since are added one by one as they show up in
     * conflicts, as reading the whole journal again would take longer than its next write.
     */
    async seal(): Promise<Seal | undefined> {
        const { store, clock, shard, ringSize } = this.dependencies;
        while (true) {
            const claim = this.#makeClaim();
            const slot = claim.sequence % ringSize;
            const sentAt = clock.monotonic();
            const expected = this.versions.get(slot) ?? absentVersion;
            const outcome = await store.compareAndSwap(ringKey(shard, slot), expected, JSON.stringify(claim));
            if (outcome.kind === "swapped") {
                this.versions.set(slot, outcome.version);
                return { claim, sentAt };
            }
            if (outcome.current === undefined || !await this.#applyConflict(claim, slot, outcome.current)) {
                return undefined;
            }
        }
    }

    #makeClaim(): Segment {
        const { random, writer } = this.dependencies;
        return {
            sequence: this.#nextSequence,
            epoch: (this.#highestEpoch + 1) as Epoch,
            writer,
            nonce: random.name(),
            snapshot: this.pointer,
            records: [],
        };
    }

    /** Adds the segment found in place of the claim; false when the journal must be read again. */
    async #applyConflict(claim: Segment, slot: number, current: KeyValue): Promise<boolean> {
        const segment = this.#addSegment(slot, current);
        if (segment === undefined) {
            return true;
        }
        const isNext = segment.sequence === claim.sequence && segment.snapshot?.name === this.pointer?.name;
        return isNext && this.extend();
    }

    get #nextSequence(): number {
        return (this.segments.at(-1)?.sequence ?? this.pointer?.through ?? 0) + 1;
    }

    get #lastEpoch(): number {
        return this.segments.at(-1)?.epoch ?? (this.pointer === undefined ? 0 : epochOfSnapshot(this.pointer));
    }

    /** Adds the segment of a slot, if its value is one. */
    #addSegment(slot: number, entry: KeyValue): Segment | undefined {
        const segment = parseSegment(entry);
        this.versions.set(slot, entry.version);
        if (segment === undefined) {
            return undefined;
        }
        this.#segmentsBySequence.set(segment.sequence, segment);
        this.#highestEpoch = Math.max(this.#highestEpoch, segment.epoch);
        return segment;
    }

    /**
     * Reads a segment that a paged listing may have missed: the owner may write one key on a page that was already read, and the
     * next key on a later page.
     */
    async #readMissed(sequence: number): Promise<Segment | "overwritten" | undefined> {
        const { store, shard, ringSize } = this.dependencies;
        const slot = sequence % ringSize;
        const entry = await store.get(ringKey(shard, slot));
        const segment = entry && parseSegment(entry);
        if (entry === undefined || segment === undefined || segment.sequence < sequence) {
            return undefined;
        }
        return segment.sequence > sequence ? "overwritten" : this.#addSegment(slot, entry);
    }
}

/**
 * Reads a journal's segments with parallel listings, as reading page after page takes long on a slow store. Returns undefined
 * when the journal must be read again.
 */
export const readSegmentChain = async (dependencies: ChainDependencies): Promise<SegmentChain | undefined> => {
    const { store, shard, ringSize } = dependencies;
    const sections = await Promise.all(sectionPrefixes(shard, ringSize).map(prefix => store.list(prefix)));
    const chain = new SegmentChain(dependencies, sections.flat());
    return await chain.extend() ? chain : undefined;
};
