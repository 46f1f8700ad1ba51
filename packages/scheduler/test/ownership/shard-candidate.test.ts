import {
    type KeyVersion,
    type LogEvent,
    logEvents,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
    processId,
    SeededRandom,
    SettingsTree,
    shardId,
    SystemClock,
} from "@pebbledale/core";
import type { SettingsWatch } from "@pebbledale/runtime";
import { expect } from "earl";
import { describe, it } from "node:test";
import { ShardCandidate, type ShardCandidateOptions } from "../../src/ownership/index.js";

/** A store in memory; `beforeSwap` brings failures about. */
class TestStore implements PlatformStore {
    readonly revoked: PlatformLeaseId[] = [];
    readonly entries = new Map<string, { key: string; value: string; version: KeyVersion; }>();
    beforeSwap: (key: string) => void = () => undefined;
    #writes = 0;
    #leases = 0;

    get = async (key: string) => this.entries.get(key);
    list = async (prefix: string) => [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
    remove = async (key: string) => this.entries.delete(key);
    renewLease = async () => true;
    watch = async () => ({ cursor: "", changed: [] });
    grantLease = async () => `lease-${++this.#leases}` as unknown as PlatformLeaseId;
    revokeLease = async (lease: PlatformLeaseId) => void this.revoked.push(lease);
    compareAndSwap: PlatformStore["compareAndSwap"] = async (key, expected, value) => {
        this.beforeSwap(key);
        const current = this.entries.get(key);
        if ((current?.version ?? 0) !== expected) {
            return { kind: "conflict", current };
        }
        const version = ++this.#writes as KeyVersion;
        this.entries.set(key, { key, value, version });
        return { kind: "swapped", version };
    };
}

const values = {
    "owner.lease": 3_000,
    "owner.commit_interval": 0,
    "listen.peers": "127.0.0.1:1",
    "platform.list_interval": 1_000,
    "cell.shards": 1,
    "process.region": "region",
    "process.site": "site",
} as unknown as ShardCandidateOptions["values"];

const setUp = () => {
    const store = new TestStore();
    const logged: { readonly event: LogEvent; readonly cause: unknown; }[] = [];
    const candidate = new ShardCandidate({
        values,
        shard: shardId("shard-0"),
        owner: processId("scheduler-0"),
        store,
        vmList: { read: async () => [] },
        clock: new SystemClock(),
        random: new SeededRandom(1),
        logger: { log: (event, fields) => logged.push({ event, cause: fields?.["cause"] }) },
        sharedSettings: { tree: new SettingsTree([]) } as SettingsWatch,
        metrics: undefined as unknown as ShardCandidateOptions["metrics"],
        countOwned: () => 0,
    });
    return { store, logged, candidate };
};

const runUntil = async (candidate: ShardCandidate, condition: () => boolean): Promise<void> => {
    const stop = new AbortController();
    const running = candidate.run(stop.signal);
    for (let rounds = 0; rounds < 300 && !condition(); rounds++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    stop.abort();
    await running;
};

describe("a candidate for a shard", () => {
    it("revokes its lease when another process has claimed the shard first", async () => {
        const { store, candidate } = setUp();
        store.beforeSwap = key => {
            store.beforeSwap = () => undefined;
            store.entries.set(key, { key, value: "{}", version: 77 as KeyVersion });
        };
        await runUntil(candidate, () => store.entries.size > 0 && store.revoked.length > 0);
        expect(store.revoked).toEqual(["lease-1" as unknown as PlatformLeaseId]);
    });

    it("revokes its lease when its claim is not answered and was not made", async () => {
        const { store, candidate } = setUp();
        store.beforeSwap = () => {
            store.beforeSwap = () => undefined;
            throw new PlatformUnavailableError("no answer");
        };
        await runUntil(candidate, () => store.revoked.length > 0);
        expect(store.revoked[0]).toEqual("lease-1" as unknown as PlatformLeaseId);
    });

    it("that cannot write the journal logs the cause, not that another owner has taken the shard", async () => {
        const { store, candidate, logged } = setUp();
        store.beforeSwap = key => {
            if (candidate.owned !== undefined && !key.includes("owner")) {
                throw new TypeError("the store refuses the value");
            }
        };
        const stop = new AbortController();
        const running = candidate.run(stop.signal);
        for (let rounds = 0; rounds < 300 && candidate.owned === undefined; rounds++) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        const { owned } = candidate;
        await owned?.commit({ records: [{} as never], effects: [] });
        await new Promise(resolve => setTimeout(resolve, 150));
        stop.abort();
        await running;
        expect(logged.filter(({ event }) => event === logEvents.shardFenced)).toEqual([]);
        const failed = logged.filter(({ event }) => event === logEvents.claimFailed);
        expect(failed.map(({ cause }) => cause)).toEqual(["TypeError: the store refuses the value"]);
    });
});
