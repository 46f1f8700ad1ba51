import {
    absentVersion,
    type ChangeFeed,
    type KeyVersion,
    ManualClock,
    type PlatformStore,
    PlatformUnavailableError,
    type SwapOutcome,
} from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { RelayedStore, type StoreOperation, type StoreRelay } from "../../src/index.js";
import { advanceTime, settle } from "../support/index.js";

const swapped: SwapOutcome = { kind: "swapped", version: 7 as KeyVersion };
const never = new Promise<SwapOutcome>(() => undefined);

/** A store that supports only swaps. */
const storeOf = (swap: () => Promise<SwapOutcome>): PlatformStore & ChangeFeed =>
    ({ compareAndSwap: swap }) as Partial<PlatformStore> as PlatformStore & ChangeFeed;

const make = (swap: () => Promise<SwapOutcome>, ...relays: StoreRelay[]) => {
    const clock = new ManualClock();
    let direct = 0;
    const store = new RelayedStore({
        direct: storeOf(() => {
            direct++;
            return swap();
        }),
        relays: () => relays,
        clock,
        logger: { log: () => undefined },
    });
    const call = () => store.compareAndSwap("key", absentVersion, "value");
    return { clock, call, directCalls: () => direct };
};

describe("a call to the store", () => {
    it("is made directly while that works", async () => {
        const asked: StoreOperation[] = [];
        const { call } = make(() => Promise.resolve(swapped), async operation => asked.push(operation));
        expect(await call()).toEqual(swapped);
        expect(asked).toEqual([]);
    });

    it("is also made through another VM when it is not answered in time", async () => {
        const { clock, call } = make(() => never, () => Promise.resolve(swapped));
        const result = call();
        await advanceTime(clock, 300);
        expect(await result).toEqual(swapped);
    });

    it("is made through another VM at once when the store rejects it", async () => {
        const rejectCall = () => Promise.reject(new PlatformUnavailableError("status 503"));
        const { call } = make(rejectCall, () => Promise.resolve(swapped));
        expect(await call()).toEqual(swapped);
    });

    it("is made through a second VM soon when the first gets no answer either", async () => {
        const { clock, call } = make(() => never, () => never, () => Promise.resolve(swapped));
        const result = call();
        await advanceTime(clock, 400);
        expect(await result).toEqual(swapped);
    });

    it("is not made directly for a while after only another VM could make it", async () => {
        const { clock, call, directCalls } = make(() => never, () => Promise.resolve(swapped));
        const first = call();
        await advanceTime(clock, 300);
        await first;
        await call();
        expect(directCalls()).toEqual(1);
        clock.advance(1_100);
        void call();
        await settle();
        expect(directCalls()).toEqual(2);
    });

    it("fails when no VM gets an answer", async () => {
        const refused = () => Promise.reject(new PlatformUnavailableError("status 503"));
        const { clock, call } = make(refused, refused, refused);
        const result = expect(call()).toBeRejected();
        await advanceTime(clock, 500);
        await result;
    });
});
