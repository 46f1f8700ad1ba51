/*
 * Guards against waiting on dead connections. An owner once waited for changes of the workers' entries on a connection that had died
 * silently, until the whole wait of 20 s was over, and went on placing tasks on VMs that had announced that they drain.
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

/** Strictest freshness that operators require: the maximum age of a copy. */
const requiredFreshness: Milliseconds = 2_000;

/** A store without changes, whose calls wait as requested. Calls on connections that died never end. */
class QuietStore implements FollowSource {
    calls = 0;
    answerTime: Milliseconds = 4;
    /** Whether a call ends when it is abandoned. */
    honoursSignals = true;
    /** Number of answers that were applied. */
    appliedCount = 0;
    readonly #hanging: (() => void)[] = [];
    /** Calls of an earlier generation get no answer. */
    #generation = 0;

    constructor(private readonly clock: ManualClock) {}

    /** Makes the open connections die silently; new ones work. */
    silenceOpenConnections(): void {
        this.#generation++;
    }

    readAll(signal: AbortSignal): Promise<FollowedUpdate> {
        return this.#answer(0, signal);
    }

    changes(_cursor: string, wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate | undefined> {
        return this.#answer(wait, signal);
    }

    /** Answers the calls on dead connections after all. */
    answerHanging(): void {
        this.#hanging.splice(0).forEach(answer => answer());
    }

    async #answer(wait: Milliseconds, signal: AbortSignal): Promise<FollowedUpdate> {
        const generation = this.#generation;
        this.calls++;
        await this.clock.sleep(wait + this.answerTime);
        if (generation !== this.#generation) {
            await this.#hang(signal);
        }
        return { cursor: "cursor", apply: () => this.appliedCount++ };
    }

    #hang(signal: AbortSignal): Promise<void> {
        return new Promise((resolve, reject) => {
            this.#hanging.push(resolve);
            const end = () => this.honoursSignals ? reject(signal.reason as Error) : undefined;
            signal.addEventListener("abort", end);
            if (signal.aborted) {
                end();
            }
        });
    }
}

const limits = followLimitsOf({
    drainWithin: requiredFreshness,
    configurationWithin: 2_500,
    closureWithin: 2_500,
    contactWithin: 3_000,
});

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

/** Advances time and returns the largest age of the copy meanwhile. */
const maxAgeDuring = async (clock: ManualClock, loop: FollowLoop, length: Milliseconds): Promise<Milliseconds> => {
    let maxAge = 0;
    for (let elapsed = 0; elapsed < length; elapsed += 10) {
        await advanceTime(clock, 10);
        maxAge = Math.max(maxAge, loop.age ?? 0);
    }
    return maxAge;
};

describe("a followed copy", () => {
    it("is as old as the last answer", async () => {
        const { clock, loop, stop } = begin();
        expect(loop.age).toEqual(undefined);
        await advanceTime(clock, 10);
        clock.advance(300);
        expect(loop.age).toEqual(300);
        stop.abort();
    });

    it("stays within the required freshness whenever its connection dies", async () => {
        for (let at = 100; at <= 1_500; at += 350) {
            const { clock, store, loop, stop, failures } = begin();
            await advanceTime(clock, at);
            store.silenceOpenConnections();
            expect(await maxAgeDuring(clock, loop, 3_000)).toBeLessThan(requiredFreshness);
            expect(failures.length).toEqual(1);
            stop.abort();
        }
    });

    it("does not exceed the derived staleness limit", async () => {
        expect(maxStaleness(limits)).toBeLessThan(requiredFreshness);
        const { clock, store, loop, stop } = begin();
        let oldest = 0;
        for (let faults = 0; faults < 8; faults++) {
            oldest = Math.max(oldest, await maxAgeDuring(clock, loop, 1_700 + faults * 130));
            store.silenceOpenConnections();
        }
        expect(oldest).toBeLessThan(maxStaleness(limits));
        stop.abort();
    });

    it("is followed with one call a second while nothing changes", async () => {
        const { clock, store, stop } = begin();
        await advanceTime(clock, 20_000);
        const readAllCalls = 1;
        expect(store.calls).toEqual(readAllCalls + 20);
        stop.abort();
    });

    it("abandons a call that ignores its signal, such as one through another VM, and discards a late result", async () => {
        const { clock, store, loop, stop } = begin();
        store.honoursSignals = false;
        await advanceTime(clock, 700);
        store.silenceOpenConnections();
        expect(await maxAgeDuring(clock, loop, 3_000)).toBeLessThan(requiredFreshness);
        const appliedCount = store.appliedCount;
        store.answerHanging();
        await advanceTime(clock, 100);
        expect(store.appliedCount).toEqual(appliedCount);
        stop.abort();
    });

    it("is still updated when the store answers later than any slack", async () => {
        const { clock, store, loop, stop } = begin();
        await advanceTime(clock, 3_000);
        store.answerTime = 600;
        // The first call and the retry are abandoned before their answers arrive; the next one waits twice as long.
        expect(await maxAgeDuring(clock, loop, 10_000)).toBeLessThan(maxStaleness(limits) + 2 * store.answerTime);
        stop.abort();
    });
});

describe("a followed copy of what changes all the time", () => {
    const gatherFor: Milliseconds = 100;
    const changeInterval: Milliseconds = 20;
    const answerTime: Milliseconds = 10;

    /** Follows a store in which something changes every 20 ms between two moments. */
    const beginBusy = (from: Milliseconds, until: Milliseconds) => {
        const clock = new ManualClock();
        const stop = new AbortController();
        /** Calls before this moment are never answered. */
        let silentBefore = 0;
        let calls = 0;
        let latestKnowledge = 0;
        const changesUpTo = (time: Milliseconds): number =>
            Math.floor(Math.max(0, Math.min(time, until) - from) / changeInterval);
        const answer = async (sentAt: Milliseconds): Promise<FollowedUpdate> => {
            await clock.sleep(answerTime);
            if (sentAt < silentBefore) {
                await new Promise(() => undefined);
            }
            const known = changesUpTo(clock.monotonic());
            return { cursor: String(known), apply: () => latestKnowledge = known };
        };
        const loop = new FollowLoop({
            source: {
                readAll: () => answer(clock.monotonic()),
                changes: async (cursor, wait) => {
                    calls++;
                    const sentAt = clock.monotonic();
                    while (clock.monotonic() < sentAt + wait && changesUpTo(clock.monotonic()) <= Number(cursor)) {
                        await clock.sleep(10);
                    }
                    return answer(sentAt);
                },
            },
            clock,
            limits,
            gatherFor,
            onAnswer: () => undefined,
            onFailure: () => undefined,
        });
        void loop.run(stop.signal);
        return {
            clock,
            loop,
            stop,
            calls: () => calls,
            unknownChanges: () => changesUpTo(clock.monotonic()) - latestKnowledge,
            silenceOpenConnections: () => silentBefore = clock.monotonic(),
        };
    };

    /* Guards against a call for each heartbeat of a worker: workers write to the store at every one. */
    it("takes a call for many changes, and is late by no more than these are gathered for", async () => {
        const { clock, stop, calls, unknownChanges } = beginBusy(0, 20_000);
        let mostUnknown = 0;
        for (let elapsed = 0; elapsed < 10_000; elapsed += 10) {
            await advanceTime(clock, 10);
            mostUnknown = Math.max(mostUnknown, unknownChanges());
        }
        expect(calls()).toBeLessThan(100);
        expect(mostUnknown * changeInterval).toBeLessThanOrEqual(gatherFor + answerTime + changeInterval);
        stop.abort();
    });

    it("is told of a change after a quiet time at once", async () => {
        const { clock, stop, unknownChanges } = beginBusy(5_000, 5_020);
        await advanceTime(clock, 5_020 + 3 * answerTime);
        expect(unknownChanges()).toEqual(0);
        stop.abort();
    });

    it("stays within the staleness limit whenever its connection dies", async () => {
        for (let at = 1_000; at <= 1_200; at += 20) {
            const { clock, loop, stop, silenceOpenConnections } = beginBusy(0, at);
            await advanceTime(clock, at);
            silenceOpenConnections();
            expect(await maxAgeDuring(clock, loop, 3_000)).toBeLessThan(maxStaleness(limits));
            stop.abort();
        }
    });
});

describe("a VM that starts while the store is silent", () => {
    /** A store that is silent until a moment; earlier calls are never answered. */
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
                drainWithin: requiredFreshness,
                configurationWithin: requiredFreshness,
                closureWithin: requiredFreshness,
                contactWithin: requiredFreshness,
            }),
            probe,
            onAnswer: () => undefined,
            onFailure: () => undefined,
        });
        void loop.run(stop.signal);
        return { clock, loop, stop, calls: () => calls };
    };

    for (const backAt of [700, 1_900, 3_100]) {
        it(`has read everything within 0.3 s of a recovery after ${backAt} ms`, async () => {
            const { clock, loop, stop } = begin({ backAt });
            await advanceTime(clock, backAt + 300);
            expect(loop.age !== undefined).toEqual(true);
            stop.abort();
        });
    }

    it("does not abandon a read of the whole state that takes long", async () => {
        const { clock, loop, stop, calls } = begin({ backAt: 0, answerTime: 1_200 });
        await advanceTime(clock, 1_300);
        expect(loop.age !== undefined).toEqual(true);
        const callsBefore = calls();
        await advanceTime(clock, 500);
        expect(calls()).toEqual(callsBefore);
        stop.abort();
    });
});
