import {
    absentVersion,
    type Clock,
    type Journal,
    JournalDamagedError,
    JournalFencedError,
    openJournal,
    processId,
    SeededRandom,
    shardId,
    type SnapshotPointer,
} from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { FlakyStore } from "./flaky-store.js";

/** A clock whose sleeps resolve immediately. */
const instantClock: Clock = {
    monotonic: () => 0,
    now: () => new Date(0),
    sleep: () => Promise.resolve(),
};
const random = new SeededRandom(7);

const openAs = async (
    store: FlakyStore,
    writer: string,
    sizes: { ringSize?: number; snapshotEvery?: number; maxValueBytes?: number; maxInFlight?: number; } = {},
) => openJournal({
    store,
    clock: instantClock,
    random,
    shard: shardId("shard-0"),
    writer: processId(writer),
    signal: new AbortController().signal,
    options: {
        ringSize: 16,
        snapshotEvery: 4,
        commitInterval: 0,
        retryDelay: 0,
        repeatAfter: undefined,
        maxInFlight: 1,
        maxValueBytes: 10_000,
        ...sizes,
    },
});

/** Uses the list of records appended through the result as the journal's snapshot source. */
const trackState = (journal: Journal, initialRecords: readonly unknown[] = []) => {
    const state = [...initialRecords];
    journal.setSnapshotSource(() => state);
    return {
        state,
        append: (record: unknown) => {
            state.push(record);
            return journal.append([record]);
        },
    };
};

/** Reads the snapshot and the records after it. `sizes` must have the writer's `ringSize`. */
const readAllRecords = async (store: FlakyStore, sizes: { ringSize?: number; } = {}): Promise<unknown[]> => {
    const { contents } = await openAs(store, "reader", sizes);
    return [...(contents.snapshot as unknown[] | undefined ?? []), ...contents.records];
};

describe("journal", () => {
    it("returns all committed records to the next owner, in order", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "first");
        await Promise.all([journal.append(["a"]), journal.append(["b", "c"])]);
        const { contents } = await openAs(store, "second");
        expect(contents.records).toEqual(["a", "b", "c"]);
        expect<number>(contents.epoch).toEqual(2);
    });

    it("fences the former owner once a new one has claimed, however late its write arrives", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "old");
        await journal.append(["kept"]);
        await openAs(store, "new");
        await expect(journal.append(["late"])).toBeRejectedWith(JournalFencedError);
        expect(await readAllRecords(store)).toEqual(["kept"]);
    });

    it("commits a write once when its answer was lost", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner");
        store.outcomes.push("answer lost", "call lost", "answered");
        await journal.append(["a"]);
        store.outcomes.push("call lost", "answer lost");
        await journal.append(["b"]);
        expect(await readAllRecords(store)).toEqual(["a", "b"]);
    });

    it("does not mistake another owner's segment for its own when the answer was lost", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "old");
        store.outcomes.push("call lost");
        store.beforeSwap = async () => {
            store.beforeSwap = undefined;
            await openAs(store, "new");
        };
        await expect(journal.append(["late"])).toBeRejectedWith(JournalFencedError);
        expect(await readAllRecords(store)).toEqual([]);
    });

    it("loses nothing when the ring is overwritten many times and a former owner writes late", async () => {
        const store = new FlakyStore();
        const first = await openAs(store, "old");
        const old = trackState(first.journal);
        await old.append("first");
        const second = await openAs(store, "new");
        const owner = trackState(second.journal, ["first"]);
        for (let index = 0; index < 100; index++) {
            await owner.append(index);
        }
        await expect(first.journal.append(["late"])).toBeRejectedWith(JournalFencedError);
        expect(await readAllRecords(store)).toEqual(["first", ...Array.from({ length: 100 }, (_, index) => index)]);
    });

    it("splits groups and snapshots that are larger than one value", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { maxValueBytes: 200, ringSize: 64 });
        const owner = trackState(journal);
        const texts = Array.from({ length: 30 }, (_, index) => `record ${index} `.padEnd(40, "xé漢"));
        await Promise.all(texts.map(text => owner.append(text)));
        expect(await readAllRecords(store)).toEqual(texts);
        const sizes = store.memory.list("").map(entry => entry.value.length);
        expect(Math.max(...sizes)).toBeLessThan(800);
    });

    it("writes snapshots that contain exactly the committed records while others are pending", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { snapshotEvery: 2 });
        const owner = trackState(journal);
        for (let round = 0; round < 10; round++) {
            await Promise.all([owner.append(`${round}a`), owner.append(`${round}b`), owner.append(`${round}c`)]);
        }
        expect(await readAllRecords(store)).toEqual(owner.state);
    });

    it("writes few snapshots when they are large compared to the segments", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { ringSize: 256 });
        const owner = trackState(journal);
        const count = 400;
        for (let index = 0; index < count; index++) {
            await owner.append(`record ${index}`.padEnd(50, "x"));
        }
        // If only segments were counted, every fourth of the 400 would be followed by a snapshot of up to three parts.
        expect(journal.writes - count).toBeLessThan(20);
        expect(await readAllRecords(store, { ringSize: 256 })).toEqual(owner.state);
    });

    it("keeps the former snapshot until a segment refers to the new one", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { snapshotEvery: 3 });
        const owner = trackState(journal);
        const pointersSeen: (SnapshotPointer | undefined)[] = [];
        // The owner may die at any write, so the newest segment must always refer to a complete snapshot.
        store.beforeSwap = () => {
            const segments = store.memory.list("shards/shard-0/journal/").map(entry =>
                JSON.parse(entry.value) as { sequence: number; snapshot?: SnapshotPointer; }
            );
            const newest = segments.sort((left, right) => right.sequence - left.sequence)[0];
            const pointer = newest?.snapshot;
            pointersSeen.push(pointer);
            const parts = pointer === undefined
                ? 0
                : store.memory.list(`shards/shard-0/snapshots/${pointer.name}/`).length;
            expect(parts).toEqual(pointer?.parts ?? 0);
        };
        for (let index = 0; index < 30; index++) {
            await owner.append(index);
        }
        expect(new Set(pointersSeen.map(pointer => pointer?.name)).size).toBeGreaterThan(3);
    });

    it("can be claimed while its owner keeps writing, without listing its segments again", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "first");
        await journal.append(["a"]);
        let remainingWrites = 3;
        const write = async () => {
            store.beforeSwap = undefined;
            await journal.append([`late ${remainingWrites--}`]);
            store.beforeSwap = remainingWrites > 0 ? write : undefined;
        };
        store.beforeSwap = write;
        const { contents } = await openAs(store, "second");
        expect(contents.records).toEqual(["a", "late 3", "late 2", "late 1"]);
        expect(store.listCalls).toEqual(2);
        await expect(journal.append(["later"])).toBeRejected();
    });

    it("is read completely while an owner writes between two pages of the listing", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "first", { snapshotEvery: 100 });
        for (const record of ["a", "b", "c", "d", "e"]) {
            await journal.append([record]);
        }
        const list = store.list.bind(store);
        // The first page ends between the keys of the next two segments, which are written before the second is read.
        const isOnFirstPage = (key: string): boolean => Number(key.slice(-5)) < 8;
        store.list = async prefix => {
            const firstPage = (await list(prefix)).filter(({ key }) => isOnFirstPage(key));
            store.list = list;
            await journal.append(["f"]);
            await journal.append(["g"]);
            const secondPage = (await list(prefix)).filter(({ key }) => !isOnFirstPage(key));
            return [...firstPage, ...secondPage];
        };
        const { contents } = await openAs(store, "second", { snapshotEvery: 100 });
        expect(contents.records).toEqual(["a", "b", "c", "d", "e", "f", "g"]);
    });

    it("sends several segments in parallel and resolves an append only when all earlier segments are committed", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { maxInFlight: 4, snapshotEvery: 100 });
        const held = holdNextWrite(store);
        const committed: string[] = [];
        const first = journal.append(["a"]).then(() => committed.push("a"));
        await runEventLoop();
        const second = journal.append(["b"]).then(() => committed.push("b"));
        await runEventLoop();
        expect({ committed, written: countSegments(store) }).toEqual({ committed: [], written: 2 });
        held.release();
        await Promise.all([first, second]);
        expect(committed).toEqual(["a", "b"]);
        expect(await readAllRecords(store)).toEqual(["a", "b"]);
    });

    it("commits records while a slow snapshot is in flight", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { maxInFlight: 4, ringSize: 32 });
        const owner = trackState(journal);
        let release: () => void = () => undefined;
        const held = new Promise<void>(resolve => release = resolve);
        store.beforeSwap = key => key.includes("/snapshots/") ? held : undefined;
        const committed: number[] = [];
        const appends = Array.from({ length: 10 }, async (_, index) => {
            await runEventLoop(index * 20);
            await owner.append(index);
            committed.push(index);
        });
        await runEventLoop(400);
        expect(committed.length).toEqual(10);
        expect(store.memory.list("shards/shard-0/snapshots/")).toEqual([]);
        release();
        await Promise.all(appends);
        await owner.append("the next");
        expect(store.memory.list("shards/shard-0/snapshots/").length).toEqual(1);
        expect(await readAllRecords(store)).toEqual(owner.state);
    });

    it("waits for the snapshot before its ring is full", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "owner", { maxInFlight: 4 });
        const owner = trackState(journal);
        let release: () => void = () => undefined;
        const held = new Promise<void>(resolve => release = resolve);
        store.beforeSwap = key => key.includes("/snapshots/") ? held : undefined;
        const appends = Array.from({ length: 60 }, async (_, index) => {
            await runEventLoop(index * 10);
            await owner.append(index);
        });
        await runEventLoop(1_000);
        release();
        await Promise.all(appends);
        expect(await readAllRecords(store)).toEqual(owner.state);
    });

    it("is read in two rounds of parallel calls, one for the ring and one for the snapshot", async () => {
        const store = new FlakyStore();
        const sizes = { ringSize: 1_024, snapshotEvery: 4, maxValueBytes: 200 };
        const { journal } = await openAs(store, "first", sizes);
        const owner = trackState(journal);
        for (let index = 0; index < 30; index++) {
            await owner.append(`record ${index}`.padEnd(60, "x"));
        }
        let rounds = 0;
        let waiting: (() => void)[] = [];
        // Calls are held back until no other work is pending, then answered together: each time counts as one round.
        const waitForRound = () => new Promise<void>(resolve => waiting.push(resolve));
        const list = store.list.bind(store);
        const get = store.get.bind(store);
        store.list = async prefix => {
            await waitForRound();
            return list(prefix);
        };
        store.get = async key => {
            await waitForRound();
            return get(key);
        };
        const opened = openAs(store, "second", sizes);
        for (let step = 0; step < 20; step++) {
            await runEventLoop();
            rounds += waiting.length > 0 ? 1 : 0;
            waiting.forEach(resolve => resolve());
            waiting = [];
        }
        const { contents } = await opened;
        expect([...contents.snapshot as unknown[], ...contents.records]).toEqual(owner.state);
        expect(rounds).toEqual(2);
    });

    it("ignores and overwrites segments that follow a missing one", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "old", { maxInFlight: 4, snapshotEvery: 100 });
        await journal.append(["kept"]);
        const held = holdNextWrite(store);
        const lost = journal.append(["lost"]);
        await runEventLoop();
        const after = journal.append(["after it"]);
        await runEventLoop();
        const next = await openAs(store, "new", { snapshotEvery: 100 });
        expect(next.contents.records).toEqual(["kept"]);
        held.release();
        await expect(lost).toBeRejectedWith(JournalFencedError);
        await expect(after).toBeRejectedWith(JournalFencedError);
        await next.journal.append(["of the new owner"]);
        await next.journal.append(["and more"]);
        expect(await readAllRecords(store)).toEqual(["kept", "of the new owner", "and more"]);
    });

    it("ignores an earlier owner's segments whose sequence numbers follow the claim of a later owner", async () => {
        const store = new FlakyStore();
        const { journal } = await openAs(store, "old", { maxInFlight: 4, snapshotEvery: 100 });
        const held = holdNextWrite(store);
        const lost = journal.append(["lost"]);
        await runEventLoop();
        const after = journal.append(["after it"]);
        await runEventLoop();
        await openAs(store, "new", { snapshotEvery: 100 });
        held.release();
        await Promise.allSettled([lost, after]);
        expect(await readAllRecords(store)).toEqual([]);
    });

    describe("beside keys and values of another writer", () => {
        const prefix = "shards/shard-0/journal/";
        const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;
        const segmentWith = (changes: object) =>
            JSON.stringify({ sequence: 9, epoch: 1, writer: "odd", nonce: "odd", records: [], ...changes });
        const oddValues = [
            "",
            "null",
            nested,
            segmentWith({ sequence: 1e300, epoch: 1e300 }),
            segmentWith({ sequence: 0 }),
            segmentWith({ epoch: "7" }),
            segmentWith({ records: "none" }),
            segmentWith({ snapshot: { name: "x", parts: -1, through: 1e300 } }),
        ];
        const put = (store: FlakyStore, key: string, value: string): void => {
            store.memory.swap(key, store.memory.get(key)?.version ?? absentVersion, value);
        };

        /* Guards against a cell without an owner: one such key kept all VMs from reading the journal. */
        it("reads all records, and writes on over values that are no segments", async () => {
            for (const value of oddValues) {
                const store = new FlakyStore();
                const first = await openAs(store, "first");
                await first.journal.append(["a"]);
                ["000odd", "00012/odd", "", "0000", "000009", "00009"].forEach(name => put(store, prefix + name, value));
                const { journal, contents } = await openAs(store, "second");
                expect(contents.records).toEqual(["a"]);
                const owner = trackState(journal, contents.records);
                for (let index = 0; index < 40; index++) {
                    await owner.append(index);
                }
                expect(await readAllRecords(store)).toEqual(["a", ...Array.from({ length: 40 }, (_, index) => index)]);
            }
        });

        it("reports which keys it passes over", async () => {
            const store = new FlakyStore();
            put(store, `${prefix}000odd`, "{}");
            put(store, `${prefix}00009`, "{}");
            const { unreadableKeys } = await openAs(store, "owner");
            expect(unreadableKeys).toEqual([`${prefix}00009`, `${prefix}000odd`]);
        });

        it("writes over a value that appears in the place of its next segment", async () => {
            const store = new FlakyStore();
            const { journal } = await openAs(store, "owner");
            await journal.append(["a"]);
            put(store, `${prefix}00003`, "odd");
            await journal.append(["b"]);
            await journal.append(["c"]);
            expect(await readAllRecords(store)).toEqual(["a", "b", "c"]);
        });

        it("claims over a value that appears in the place of the claim", async () => {
            const store = new FlakyStore();
            const { journal } = await openAs(store, "first");
            await journal.append(["a"]);
            store.beforeSwap = key => {
                store.beforeSwap = undefined;
                put(store, key, "odd");
            };
            expect((await openAs(store, "second")).contents.records).toEqual(["a"]);
        });

        it("is damaged when a committed segment was overwritten, as records are lost", async () => {
            const store = new FlakyStore();
            const sizes = { ringSize: 64, snapshotEvery: 60 };
            const { journal } = await openAs(store, "first", sizes);
            for (let index = 0; index < 10; index++) {
                await journal.append([index]);
            }
            put(store, `${prefix}00004`, "odd");
            await expect(openAs(store, "second", sizes)).toBeRejectedWith(JournalDamagedError);
        });
    });
});

/** Runs turns of the event loop. */
const runEventLoop = async (count = 20): Promise<void> => {
    for (let turn = 0; turn < count; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

/** Blocks the next write before it takes effect, until it is released. */
const holdNextWrite = (store: FlakyStore): { release: () => void; } => {
    let release = () => {};
    const released = new Promise<void>(resolve => release = resolve);
    store.beforeSwap = () => {
        store.beforeSwap = undefined;
        return released;
    };
    return { release: () => release() };
};

const countSegments = (store: FlakyStore): number => store.memory.list("shards/shard-0/journal/").length;
