/*
 * Guards against overloading a store that rejects calls: if each pending write retried on its own, the calls could exceed the
 * platform's rate limit and keep the store rejecting calls after it has recovered.
 */
import { expect } from "earl";
import { setMaxListeners } from "node:events";
import { describe, it } from "node:test";
import { absentVersion, ManualClock, type Milliseconds, PlatformUnavailableError } from "../../src/index.js";
import { HedgedWriter } from "../../src/journal/hedged-writer.js";

/** A signal to which any number of writes may listen at once. */
const makeSignal = (): AbortSignal => {
    const { signal } = new AbortController();
    setMaxListeners(0, signal);
    return signal;
};

const writeCount = 16;
const retryDelay: Milliseconds = 60;

/** Runs callbacks that are ready, including those they schedule. */
const runPendingCallbacks = async (): Promise<void> => {
    for (let round = 0; round < 10; round++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

const advance = async (clock: ManualClock, duration: Milliseconds): Promise<void> => {
    for (let elapsed = 0; elapsed < duration; elapsed += 10) {
        clock.advance(10);
        await runPendingCallbacks();
    }
};

const startWrites = () => {
    const clock = new ManualClock();
    const store = { isBusy: true, calls: 0 };
    const writer = new HedgedWriter({
        store: {
            compareAndSwap: async () => {
                store.calls++;
                if (store.isBusy) {
                    throw new PlatformUnavailableError("status 503");
                }
                return { kind: "swapped", version: 1 };
            },
        } as unknown as ConstructorParameters<typeof HedgedWriter>[0]["store"],
        clock,
        options: { retryDelay, repeatAfter: 160 },
        signal: makeSignal(),
    });
    let answered = 0;
    for (let write = 0; write < writeCount; write++) {
        void writer.write(`key-${write}`, absentVersion, "value").then(() => answered++);
    }
    return { clock, store, answered: () => answered };
};

describe("HedgedWriter with a store that rejects calls", () => {
    it("makes one call at a time for any number of writes", async () => {
        const { clock, store } = startWrites();
        await advance(clock, 4_000);
        expect(store.calls <= writeCount + 4_000 / retryDelay).toEqual(true);
    });

    it("completes all writes within 100 ms of the store's recovery", async () => {
        const { clock, store, answered } = startWrites();
        await advance(clock, 4_000);
        store.isBusy = false;
        await advance(clock, 100);
        expect(answered()).toEqual(writeCount);
    });
});

describe("HedgedWriter with a store that takes long to answer", () => {
    it("has overdue writes only until it knows how long answers take", async () => {
        const clock = new ManualClock();
        const writer = new HedgedWriter({
            store: {
                compareAndSwap: async () => {
                    await clock.sleep(answerTime.current);
                    return { kind: "swapped", version: 1 };
                },
            } as unknown as ConstructorParameters<typeof HedgedWriter>[0]["store"],
            clock,
            options: { retryDelay, repeatAfter: 160 },
            signal: makeSignal(),
        });
        const answerTime = { current: 4 };
        let overdue = 0;
        const writeFor = async (count: number): Promise<number> => {
            overdue = 0;
            for (let write = 0; write < count; write++) {
                void writer.write(`key-${write}`, absentVersion, "value");
                await advance(clock, 200);
                overdue += writer.isOverdue() ? 1 : 0;
            }
            return overdue;
        };
        expect(await writeFor(5)).toEqual(0);
        answerTime.current = 400;
        expect(await writeFor(5) > 0).toEqual(true);
        expect(await writeFor(10)).toEqual(0);
    });
});
