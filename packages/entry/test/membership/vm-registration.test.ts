import {
    absentVersion,
    type KeyValue,
    type KeyVersion,
    ManualClock,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
} from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { OwnerKey, VmRegistration } from "../../src/index.js";
import { advanceTime, RecordingLogger, settle } from "../support/index.js";

/** A store of one key that may lose answers. */
class OneKeyStore {
    entry: KeyValue | undefined;
    lease = "lease-1" as PlatformLeaseId;
    isLeaseExpired = false;
    losesNextAnswer = false;
    /** Whether the next write fails without an effect. */
    failsNextWrite = false;
    /** Whether new calls never get an answer. */
    isSilent = false;
    /** Durations of the next calls that concern leases; they are answered at once if omitted. */
    times: { readonly clock: ManualClock; readonly of: number[]; } | undefined;

    expireLease(): void {
        this.entry = undefined;
        this.isLeaseExpired = true;
    }

    async grantLease(): Promise<PlatformLeaseId> {
        await this.#takeTime();
        this.isLeaseExpired = false;
        return this.lease;
    }

    async #takeTime(): Promise<void> {
        const time = this.times?.of.shift();
        if (time !== undefined) {
            await this.times?.clock.sleep(time);
        }
    }

    async renewLease(): Promise<boolean> {
        await this.#takeTime();
        return this.isSilent ? new Promise(() => undefined) : !this.isLeaseExpired;
    }

    async revokeLease(): Promise<void> {
        if (this.isSilent) {
            return new Promise(() => undefined);
        }
        this.entry = undefined;
    }

    async compareAndSwap(key: string, expected: KeyVersion, value: string) {
        if (this.failsNextWrite) {
            this.failsNextWrite = false;
            throw new PlatformUnavailableError("the write has failed");
        }
        if ((this.entry?.version ?? absentVersion) !== expected) {
            return { kind: "conflict", current: this.entry } as const;
        }
        const version = (expected + 1) as KeyVersion;
        this.entry = { key, value, version };
        if (this.losesNextAnswer) {
            this.losesNextAnswer = false;
            throw new PlatformUnavailableError("the answer was lost");
        }
        return { kind: "swapped", version } as const;
    }
}

const asStore = (store: OneKeyStore): PlatformStore => store as Partial<PlatformStore> as PlatformStore;

describe("a VM's key", () => {
    it("is restored after its lease has expired", async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        const stop = new AbortController();
        const logger = new RecordingLogger();
        const options = { store: asStore(store), clock, logger, key: "cell/nodes/a", value: "a", leaseLength: 3_000 };
        const running = new VmRegistration(options).run(stop.signal);
        await settle();
        expect(store.entry?.value).toEqual("a");
        store.expireLease();
        await advanceTime(clock, 1_100);
        expect(store.entry?.value).toEqual("a");
        stop.abort();
        await running;
        expect(store.entry).toEqual(undefined);
    });

    it("replaces the key of an earlier process", async () => {
        const store = new OneKeyStore();
        store.entry = { key: "cell/nodes/a", value: "old", version: 4 as KeyVersion };
        const stop = new AbortController();
        const options = {
            store: asStore(store),
            clock: new ManualClock(),
            logger: new RecordingLogger(),
            key: "cell/nodes/a",
            value: "new",
            leaseLength: 3_000,
        };
        const running = new VmRegistration(options).run(stop.signal);
        await settle();
        expect(store.entry?.value).toEqual("new");
        stop.abort();
        await running;
    });
});

describe("a VM's key with the time of a call to the store", () => {
    const start = (store: OneKeyStore, clock: ManualClock, stop: AbortController) =>
        new VmRegistration({
            store: asStore(store),
            clock,
            logger: new RecordingLogger(),
            key: "cell/nodes/a",
            value: "a",
            measuredValue: time => `a ${time}`,
            leaseLength: 3_000,
        }).run(stop.signal);

    it("holds the least time, so that the call that opens the connection does not count", async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        store.times = { clock, of: [50, 40, 30] };
        const stop = new AbortController();
        const running = start(store, clock, stop);
        await advanceTime(clock, 200);
        expect(store.entry?.value).toEqual("a 30");
        stop.abort();
        await running;
    });

    it("is corrected once a later call shows that it was much too long, and not otherwise", async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        store.times = { clock, of: [100, 100, 100, 90, 20, 20] };
        const stop = new AbortController();
        const running = start(store, clock, stop);
        await advanceTime(clock, 400);
        expect([store.entry?.value, store.entry?.version]).toEqual(["a 100", 1 as KeyVersion]);
        await advanceTime(clock, 1_200);
        expect([store.entry?.value, store.entry?.version]).toEqual(["a 100", 1 as KeyVersion]);
        await advanceTime(clock, 1_200);
        expect([store.entry?.value, store.entry?.version]).toEqual(["a 20", 2 as KeyVersion]);
        await advanceTime(clock, 1_200);
        expect(store.entry?.version).toEqual(2 as KeyVersion);
        stop.abort();
        await running;
    });
});

describe("the correction of a VM's key", () => {
    /** Starts a VM that publishes 100 ms and measures 20 ms at its second renewal, 2 s after its start. */
    const begin = async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        store.times = { clock, of: [100, 100, 100, 100, 20, 20, 20, 20, 20, 20] };
        const stop = new AbortController();
        const running = new VmRegistration({
            store: asStore(store),
            clock,
            logger: new RecordingLogger(),
            key: "cell/nodes/a",
            value: "a",
            measuredValue: time => `a ${time}`,
            leaseLength: 3_000,
        }).run(stop.signal);
        await advanceTime(clock, 1_600);
        expect([store.entry?.value, store.entry?.version]).toEqual(["a 100", 1 as KeyVersion]);
        const end = async () => {
            stop.abort();
            await running;
        };
        return { store, clock, end };
    };

    it("is repeated when its call failed", async () => {
        const { store, clock, end } = await begin();
        store.failsNextWrite = true;
        await advanceTime(clock, 3_000);
        expect(store.entry?.value).toEqual("a 20");
        await end();
    });

    it("is complete when only the answer to its call was lost", async () => {
        const { store, clock, end } = await begin();
        store.losesNextAnswer = true;
        await advanceTime(clock, 3_000);
        const written = { ...store.entry };
        await advanceTime(clock, 3_000);
        expect(written.value).toEqual("a 20");
        expect(store.entry?.version).toEqual(written.version);
        await end();
    });

    // Other VMs take an owner's process for ended when its VM's key is written by another process.
    it("does not replace the key of a later process", async () => {
        const { store, clock, end } = await begin();
        store.entry = { key: "cell/nodes/a", value: "later", version: 2 as KeyVersion };
        await advanceTime(clock, 3_000);
        expect([store.entry.value, store.entry.version]).toEqual(["later", 2 as KeyVersion]);
        await end();
    });
});

/** Starts a run that is asked to stop by `stop`; `hasEnded` tells whether it has ended. */
const watchEnd = (run: (signal: AbortSignal) => Promise<void>) => {
    const stop = new AbortController();
    const watched = { stop: () => stop.abort(), hasEnded: false };
    void run(stop.signal).then(() => watched.hasEnded = true);
    return watched;
};

describe("a VM that stops while the store is silent", () => {
    for (const hasPendingRenewal of [false, true]) {
        it(`does not wait long for the revocation of its lease${hasPendingRenewal ? ", nor for a pending renewal" : ""}`, async () => {
            const store = new OneKeyStore();
            const clock = new ManualClock();
            const logger = new RecordingLogger();
            const registration = new VmRegistration({
                store: asStore(store),
                clock,
                logger,
                key: "cell/nodes/a",
                value: "a",
                leaseLength: 3_000,
            });
            const watched = watchEnd(signal => registration.run(signal));
            await settle();
            store.isSilent = true;
            await advanceTime(clock, hasPendingRenewal ? 1_100 : 100);
            watched.stop();
            await advanceTime(clock, 500);
            expect(watched.hasEnded).toEqual(true);
        });
    }

    it("does not wait long for the revocation of the owner's key", async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        const key = new OwnerKey({
            store: asStore(store),
            clock,
            logger: new RecordingLogger(),
            value: "a",
            leaseLength: 1_000,
        });
        expect(await key.claim(absentVersion)).toEqual(true);
        const watched = watchEnd(signal => key.keepAlive(signal));
        store.isSilent = true;
        await advanceTime(clock, 500);
        watched.stop();
        await advanceTime(clock, 500);
        expect(watched.hasEnded).toEqual(true);
    });
});

describe("the owner's key", () => {
    const make = (store: OneKeyStore) =>
        new OwnerKey({
            store: asStore(store),
            clock: new ManualClock(),
            logger: new RecordingLogger(),
            value: "me",
            leaseLength: 1_000,
        });

    it("is claimed when the first answer was lost and the second attempt finds its own value", async () => {
        const store = new OneKeyStore();
        store.losesNextAnswer = true;
        await expect(make(store).claim(absentVersion)).toBeRejected();
        expect(await make(store).claim(absentVersion)).toEqual(true);
    });

    // The owner once lost its key to another VM because it waited for a renewal on a dead connection, for almost as long as the lease.
    it("is renewed in time although the previous renewal is unanswered", async () => {
        const store = new OneKeyStore();
        const clock = new ManualClock();
        const stop = new AbortController();
        const key = new OwnerKey({
            store: asStore(store),
            clock,
            logger: new RecordingLogger(),
            value: "me",
            leaseLength: 1_000,
        });
        expect(await key.claim(absentVersion)).toEqual(true);
        void key.keepAlive(stop.signal);
        store.isSilent = true;
        await advanceTime(clock, 400);
        store.isSilent = false;
        await advanceTime(clock, 400);
        expect(key.confirmedAt).toBeGreaterThan(400);
        stop.abort();
    });

    it("is not claimed while another process has it", async () => {
        const store = new OneKeyStore();
        store.entry = { key: "cell/owner", value: "other", version: 3 as KeyVersion };
        expect(await make(store).claim(absentVersion)).toEqual(false);
    });
});
