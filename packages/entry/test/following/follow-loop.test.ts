/*
 * Open connections fell silent while new ones worked, and an owner went on placing tasks on VMs that had said that they leave.
 * Its call that waits for news of the workers had begun before and was waited for until 1.5 s after its whole wait of 20 s: nothing
 * else showed that nobody was at the other end any more. The owner's line of each second (4401) told the age of what it knew of the
 * workers: 772 ms at 20.8 s, 5,071 ms at 25.0 s, 20,772 ms at 40.8 s, and the workers had begun to leave at 24.5 s. Where the
 * connection of that call was spared, the age stayed below 120 ms and the leaving workers were known 26 ms after they had said so.
 */
import { ManualClock, type Milliseconds } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    type FollowedUpdate,
    followLimitsOf,
    FollowLoop,
    type FollowSource,
    maxStaleness,
    StoreProbe,
} from "../../src/index.js";
import { advanceTime } from "../support/index.js";

/** The least time within which the users want a change to be acted on. */
const boundOfUsers: Milliseconds = 2_000;

/** A store with nothing new: its calls wait as they are asked to. Calls over a connection that falls silent never end. */
class QuietStore implements FollowSource {
    calls = 0;
    answerTime: Milliseconds = 4;
    /** Whether a call that is given up ends. */
    heedsSignals = true;
    /** Answers that were taken in. */
    taken = 0;
    readonly #hanging: (() => void)[] = [];
    /** Grows with each fall: calls of an earlier generation get no answer. */
    #generation = 0;

    constructor(private readonly clock: ManualClock) {}

    /** The connections that are open now fall silent; new ones work. */
    silenceOpen(): void {
        this.#generation++;
    }

    readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        return this.#answer(0, signal);
    }

    changes(_cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        return this.#answer(wait, signal);
    }

    /** What hangs on silent connections is answered after all. */
    answerSilent(): void {
        this.#hanging.splice(0).forEach(answer => answer());
    }

    async #answer(wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate> {
        const generation = this.#generation;
        this.calls++;
        await this.clock.sleep(wait + this.answerTime);
        if (generation !== this.#generation) {
            await this.#hang(signal);
        }
        return { cursor: "cursor", apply: () => this.taken++ };
    }

    #hang(signal: AbortSignal): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#hanging.push(resolve);
            const end = () => this.heedsSignals ? reject(signal.reason as Error) : undefined;
            signal.addEventListener("abort", end);
            if (signal.aborted) {
                end();
            }
        });
    }
}

const limits = followLimitsOf({ drainWithin: boundOfUsers, configurationWithin: 2_500, contactWithin: 3_000 });

const begin = () => {
    const clock = new ManualClock();
    const store = new QuietStore(clock);
    const stop = new AbortController();
    const failures: (Milliseconds | undefined)[] = [];
    const loop = new FollowLoop({
        source: store,
        clock,
        limits,
        onAnswer: () => undefined,
        onFailure: (_cause, age) => failures.push(age),
    });
    void loop.run(stop.signal);
    return { clock, store, stop, loop, failures };
};

/** Lets time pass and returns how old what is known became at most. */
const oldestIn = async (clock: ManualClock, loop: FollowLoop, length: Milliseconds): Promise<Milliseconds> => {
    let oldest = 0;
    for (let elapsed = 0; elapsed < length; elapsed += 10) {
        await advanceTime(clock, 10);
        oldest = Math.max(oldest, loop.age ?? 0);
    }
    return oldest;
};

describe("what is followed in the store", () => {
    it("is as old as the last answer", async () => {
        const { clock, loop, stop } = begin();
        expect(loop.age).toEqual(undefined);
        await advanceTime(clock, 10);
        clock.advance(300);
        expect(loop.age).toEqual(300);
        stop.abort();
    });

    it("is heard within the users' bounds, whenever its connection falls silent", async () => {
        for (let at = 100; at <= 1_500; at += 350) {
            const { clock, store, loop, stop, failures } = begin();
            await advanceTime(clock, at);
            store.silenceOpen();
            expect(await oldestIn(clock, loop, 3_000)).toBeLessThan(boundOfUsers);
            expect(failures.length).toEqual(1);
            stop.abort();
        }
    });

    it("is no older than the limit that is worked out from the users' bounds", async () => {
        expect(maxStaleness(limits)).toBeLessThan(boundOfUsers);
        const { clock, store, loop, stop } = begin();
        let oldest = 0;
        for (let falls = 0; falls < 8; falls++) {
            oldest = Math.max(oldest, await oldestIn(clock, loop, 1_700 + falls * 130));
            store.silenceOpen();
        }
        expect(oldest).toBeLessThan(maxStaleness(limits));
        stop.abort();
    });

    it("is waited for in calls that are so long that a quiet store gets one a second", async () => {
        const { clock, store, stop } = begin();
        await advanceTime(clock, 20_000);
        const readings = 1;
        expect(store.calls).toEqual(readings + 20);
        stop.abort();
    });

    it("is given up on time also where a call goes on, as through another VM, and what it brings later is not taken in", async () => {
        const { clock, store, loop, stop } = begin();
        store.heedsSignals = false;
        await advanceTime(clock, 700);
        store.silenceOpen();
        expect(await oldestIn(clock, loop, 3_000)).toBeLessThan(boundOfUsers);
        const taken = store.taken;
        store.answerSilent();
        await advanceTime(clock, 100);
        expect(store.taken).toEqual(taken);
        stop.abort();
    });

    it("is still heard where the store answers later than any slack", async () => {
        const { clock, store, loop, stop } = begin();
        await advanceTime(clock, 3_000);
        store.answerTime = 600;
        // The first call and the one that probes are given up before their answers come; the next waits for twice as long.
        expect(await oldestIn(clock, loop, 10_000)).toBeLessThan(maxStaleness(limits) + 2 * store.answerTime);
        stop.abort();
    });
});

describe("a VM that starts while the store is silent", () => {
    /** A store that is silent until a moment; calls that come before are never answered. */
    const begin = ({ backAt, answerTime = 4 }: { backAt: Milliseconds; answerTime?: Milliseconds; }) => {
        const clock = new ManualClock();
        let calls = 0;
        const call = async (time: Milliseconds) => {
            calls++;
            if (clock.monotonic() < backAt) {
                await new Promise(() => undefined);
            }
            await clock.sleep(time);
        };
        const probe = new StoreProbe({ clock, call: () => call(4), isNeeded: () => true });
        const stop = new AbortController();
        const loop = new FollowLoop({
            source: {
                readAll: async () => {
                    await call(answerTime);
                    return { cursor: "cursor", apply: () => undefined };
                },
                changes: async (_cursor, wait) => {
                    await clock.sleep(wait);
                    return { cursor: "cursor", apply: () => undefined };
                },
            },
            clock,
            limits: followLimitsOf({
                drainWithin: boundOfUsers,
                configurationWithin: boundOfUsers,
                contactWithin: boundOfUsers,
            }),
            probe,
            onAnswer: () => undefined,
            onFailure: () => undefined,
        });
        void loop.run(stop.signal);
        return { clock, loop, stop, calls: () => calls };
    };

    for (const backAt of [700, 1_900, 3_100]) {
        it(`has read all within 0.3 s of its return after ${backAt} ms`, async () => {
            const { clock, loop, stop } = begin({ backAt });
            await advanceTime(clock, backAt + 300);
            expect(loop.age !== undefined).toEqual(true);
            stop.abort();
        });
    }

    it("leaves a page that takes long to come to its end", async () => {
        const { clock, loop, stop, calls } = begin({ backAt: 0, answerTime: 1_200 });
        await advanceTime(clock, 1_300);
        expect(loop.age !== undefined).toEqual(true);
        const callsBefore = calls();
        await advanceTime(clock, 500);
        expect(calls()).toEqual(callsBefore);
        stop.abort();
    });
});
