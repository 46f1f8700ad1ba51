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

/** A store that supports only swaps, and reads that are answered alike. */
const storeOf = (swap: () => Promise<SwapOutcome>, read: () => Promise<unknown>): PlatformStore & ChangeFeed =>
    ({ compareAndSwap: swap, get: () => read().then(() => undefined) }) as Partial<PlatformStore> as
        & PlatformStore
        & ChangeFeed;

const make = (swap: () => Promise<SwapOutcome>, ...relays: StoreRelay[]) => {
    const clock = new ManualClock();
    let direct = 0;
    const store = new RelayedStore({
        direct: storeOf(() => {
            direct++;
            return swap();
        }, swap),
        relays: () => relays,
        checkedKey: "checked",
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
        await advanceTime(clock, 250);
        await call();
        expect(directCalls()).toEqual(1);
        clock.advance(1_100);
        void call();
        await settle();
        expect(directCalls()).toEqual(2);
    });

    it("is made on both routes at once while it is checked whether direct calls are answered", async () => {
        const { clock, call } = make(() => never, () => Promise.resolve(swapped));
        const first = call();
        await advanceTime(clock, 260);
        await first;
        const second = call();
        await advanceTime(clock, 10);
        expect(await second).toEqual(swapped);
    });

    /*
     * Guards against an owner that sends its journal through a small remote VM for seconds after the store was silent for all VMs,
     * because that VM's call happened to be the first one after the recovery.
     */
    it("is made directly again at once when the store was silent for all VMs", async () => {
        let isSilent = true;
        const ask = () => isSilent ? never : Promise.resolve(swapped);
        let relayed = 0;
        const { clock, call, directCalls } = make(ask, () => {
            relayed++;
            return ask();
        });
        const first = call();
        await advanceTime(clock, 200);
        isSilent = false;
        await advanceTime(clock, 100);
        expect(await first).toEqual(swapped);
        for (let count = 0; count < 20; count++) {
            const next = call();
            await advanceTime(clock, 20);
            expect(await next).toEqual(swapped);
        }
        expect([relayed, directCalls()]).toEqual([1, 21]);
    });

    it("fails when no VM gets an answer", async () => {
        const refused = () => Promise.reject(new PlatformUnavailableError("status 503"));
        const { clock, call } = make(refused, refused, refused);
        const result = expect(call()).toBeRejected();
        await advanceTime(clock, 500);
        await result;
    });
});
