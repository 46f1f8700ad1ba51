import {
    type Clock,
    openJournal,
    PlatformUnavailableError,
    processId,
    SeededRandom,
    shardId,
    type SwapOutcome,
} from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FlakyStore } from "./flaky-store.js";

const seeds = 60;
const owners = 4;
const recordsPerOwner = 25;
/** Share of the calls that are lost before or after they take effect. */
const lossShare = 0.15;
const maxDelayTurns = 6;

const turn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const turnClock: Clock = { monotonic: () => 0, now: () => new Date(0), sleep: turn };

/** A store whose calls take effect late, in any order, or are lost. */
class ReorderingStore extends FlakyStore {
    constructor(private readonly random: SeededRandom) {
        super();
    }

    /** See the class's comment. */
    override async compareAndSwap(...call: Parameters<FlakyStore["compareAndSwap"]>): Promise<SwapOutcome> {
        await this.#delay();
        if (this.random.next() < lossShare) {
            throw new PlatformUnavailableError("lost before it took effect");
        }
        const outcome = await super.compareAndSwap(...call);
        await this.#delay();
        if (this.random.next() < lossShare) {
            throw new PlatformUnavailableError("lost after it took effect");
        }
        return outcome;
    }

    async #delay(): Promise<void> {
        const turns = Math.floor(this.random.next() * maxDelayTurns);
        for (let passed = 0; passed < turns; passed++) {
            await turn();
        }
    }
}

const openAs = (store: FlakyStore, random: SeededRandom, writer: string) =>
    openJournal({
        store,
        clock: turnClock,
        random,
        shard: shardId("shard-0"),
        writer: processId(writer),
        signal: new AbortController().signal,
        options: {
            ringSize: 64,
            snapshotEvery: 8,
            commitInterval: 0,
            retryDelay: 0,
            repeatAfter: 0,
            maxInFlight: 5,
            maxValueBytes: 10_000,
        },
    });

/**
 * Owners take the journal from each other while they write; returns what each was committed is kept, and what is read.
 */
const runOwners = async (seed: number): Promise<{ committed: string[]; read: string[]; }> => {
    const random = new SeededRandom(seed);
    const store = new ReorderingStore(random);
    const committed: string[] = [];
    const writing: Promise<unknown>[] = [];
    for (let owner = 0; owner < owners; owner++) {
        const { journal, contents } = await openWithRetries(store, random, `owner-${owner}`);
        const state = [...(contents.snapshot as string[] | undefined ?? []), ...contents.records as string[]];
        journal.setSnapshotSource(() => state);
        for (let index = 0; index < recordsPerOwner; index++) {
            const record = `${owner}/${index}`;
            state.push(record);
            writing.push(journal.append([record]).then(() => committed.push(record)).catch(() => undefined));
            if (random.next() < 0.5) {
                await turn();
            }
        }
    }
    await Promise.all(writing);
    const { contents } = await openWithRetries(store, random, "reader");
    return { committed, read: [...(contents.snapshot as string[] | undefined ?? []), ...contents.records as string[]] };
};

/** A claim whose call was lost is tried again, as candidates do. */
const openWithRetries = async (
    store: FlakyStore,
    random: SeededRandom,
    writer: string,
): ReturnType<typeof openJournal> => {
    for (;;) {
        try {
            return await openAs(store, random, writer);
        }
        catch (cause) {
            if (!(cause instanceof PlatformUnavailableError)) {
                throw cause;
            }
        }
    }
};

describe("a journal whose calls are delayed, lost and overtaken, under owners that take it from each other", () => {
    it("holds all that was committed to be kept, once and in order", async () => {
        for (let seed = 1; seed <= seeds; seed++) {
            const { committed, read } = await runOwners(seed);
            expect(new Set(read).size).toEqual(read.length);
            const missing = committed.filter(record => !read.includes(record));
            expect({ seed, missing }).toEqual({ seed, missing: [] });
            expect({ seed, read }).toEqual({ seed, read: sortBySubmission(read) });
        }
    });
});

const sortBySubmission = (records: readonly string[]): string[] => {
    const positionOf = (record: string): number => {
        const [owner, index] = record.split("/").map(Number);
        return owner * recordsPerOwner + index;
    };
    return [...records].sort((left, right) => positionOf(left) - positionOf(right));
};
