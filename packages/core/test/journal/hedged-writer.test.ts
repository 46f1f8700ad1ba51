/*
 * A store that turned all calls away for four seconds was called by 16 writes of the journal, each every 60 ms and through three more VMs: more calls
 * a second than the platform allows all VMs together, so that it went on turning calls away when it was back.
 */
import { expect } from "earl";
import { describe, it } from "node:test";
import { absentVersion, ManualClock, type Milliseconds, PlatformUnavailableError } from "../../src/index.js";
import { HedgedWriter } from "../../src/journal/hedged-writer.js";

const onTheirWay = 16;
const retryDelay: Milliseconds = 60;

/** Lets all that is ready run. */
const settle = async (): Promise<void> => {
    for (let round = 0; round < 10; round++) {
        await new Promise(resolve => setImmediate(resolve));
    }
};

const pass = async (clock: ManualClock, duration: Milliseconds): Promise<void> => {
    for (let elapsed = 0; elapsed < duration; elapsed += 10) {
        clock.advance(10);
        await settle();
    }
};

const begin = () => {
    const clock = new ManualClock();
    const store = { isBusy: true, calls: 0 };
    const swaps = new HedgedWriter({
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
        signal: new AbortController().signal,
    });
    let kept = 0;
    for (let write = 0; write < onTheirWay; write++) {
        void swaps.write(`key-${write}`, absentVersion, "value").then(() => kept++);
    }
    return { clock, store, kept: () => kept };
};

describe("writes to a store that turns calls away", () => {
    it("make one call at a time, whatever their number", async () => {
        const { clock, store } = begin();
        await pass(clock, 4_000);
        expect(store.calls <= onTheirWay + 4_000 / retryDelay).toEqual(true);
    });

    it("are all kept within 0.1 s of its return", async () => {
        const { clock, store, kept } = begin();
        await pass(clock, 4_000);
        store.isBusy = false;
        await pass(clock, 100);
        expect(kept()).toEqual(onTheirWay);
    });
});
