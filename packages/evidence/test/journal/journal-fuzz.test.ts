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

const seedCount = 60;
const ownerCount = 4;
const recordsPerOwner = 25;
/** Probability that a call is lost before it takes effect; also that its answer is lost afterwards. */
const lossProbability = 0.15;
const maxDelayTurns = 6;

const waitForTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** A clock whose sleeps take one turn of the event loop. */
const turnClock: Clock = { monotonic: () => 0, now: () => new Date(0), sleep: waitForTurn };

/** A store whose writes are delayed, reordered and lost at random. */
class ReorderingStore extends FlakyStore {
    constructor(private readonly random: SeededRandom) {
        super();
    }

    override async compareAndSwap(...call: Parameters<FlakyStore["compareAndSwap"]>): Promise<SwapOutcome> {
        await this.#delay();
        if (this.random.next() < lossProbability) {
            throw new PlatformUnavailableError("lost before it took effect");
        }
        const outcome = await super.compareAndSwap(...call);
        await this.#delay();
        if (this.random.next() < lossProbability) {
            throw new PlatformUnavailableError("lost after it took effect");
        }
        return outcome;
    }

    async #delay(): Promise<void> {
        const turns = Math.floor(this.random.next() * maxDelayTurns);
        for (let passed = 0; passed < turns; passed++) {
            await waitForTurn();
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
 * Lets owners claim the journal one after another while earlier ones still write; returns the records whose appends
 * resolved, and the records that a later reader finds.
 */
const runOwners = async (seed: number): Promise<{ committed: string[]; read: string[]; }> => {
    const random = new SeededRandom(seed);
    const store = new ReorderingStore(random);
    const committed: string[] = [];
    const writing: Promise<unknown>[] = [];
    for (let owner = 0; owner < ownerCount; owner++) {
        const { journal, contents } = await openWithRetries(store, random, `owner-${owner}`);
        const state = [...(contents.snapshot as string[] | undefined ?? []), ...contents.records as string[]];
        journal.setSnapshotSource(() => state);
        for (let index = 0; index < recordsPerOwner; index++) {
            const record = `${owner}/${index}`;
            state.push(record);
            writing.push(journal.append([record]).then(() => committed.push(record)).catch(() => undefined));
            if (random.next() < 0.5) {
                await waitForTurn();
            }
        }
    }
    await Promise.all(writing);
    const { contents } = await openWithRetries(store, random, "reader");
    return { committed, read: [...(contents.snapshot as string[] | undefined ?? []), ...contents.records as string[]] };
};

/** Opens the journal, retrying when a call was lost, as candidates for ownership do. */
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

describe("a journal under competing owners whose writes are delayed, reordered and lost", () => {
    it("contains every committed record, once and in order", async () => {
        for (let seed = 1; seed <= seedCount; seed++) {
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
