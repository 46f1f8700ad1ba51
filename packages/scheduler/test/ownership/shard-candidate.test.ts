import {
    jobSubmissionSchema,
    type KeyVersion,
    type ListedWorker,
    type LogEvent,
    logEvents,
    type Milliseconds,
    type PlatformLeaseId,
    type PlatformStore,
    PlatformUnavailableError,
    processId,
    SeededRandom,
    SettingsTree,
    shardId,
    type Submission,
    SystemClock,
    VmState,
    workerId,
    WorkloadClass,
} from "@pebbledale/core";
import type { SettingsWatch } from "@pebbledale/runtime";
import { expect } from "earl";
import { describe, it } from "node:test";
import {
    commitTimeout,
    type OwnedShard,
    ShardCandidate,
    type ShardCandidateOptions,
} from "../../src/ownership/index.js";
import { LocalSchedulerService } from "../../src/service/index.js";

/** A store in memory; `beforeSwap` brings failures about. */
class TestStore implements PlatformStore {
    readonly revoked: PlatformLeaseId[] = [];
    readonly entries = new Map<string, { key: string; value: string; version: KeyVersion; }>();
    beforeSwap: (key: string) => void = () => undefined;
    #held: Promise<void> | undefined;
    #writes = 0;
    #leases = 0;

    get = async (key: string) => this.entries.get(key);
    list = async (prefix: string) => [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
    remove = async (key: string) => this.entries.delete(key);
    renewLease = async () => true;
    watch = async () => ({ cursor: "", changed: [] });
    grantLease = async () => `lease-${++this.#leases}` as unknown as PlatformLeaseId;
    revokeLease = async (lease: PlatformLeaseId) => void this.revoked.push(lease);

    /** Keeps all writes waiting until the returned function is called. */
    holdWrites(): () => void {
        let release: () => void = () => undefined;
        this.#held = new Promise(resolve => release = resolve);
        return release;
    }

    compareAndSwap: PlatformStore["compareAndSwap"] = async (key, expected, value) => {
        this.beforeSwap(key);
        await this.#held;
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

/** The process's clock, which counts the sleeps that have not ended. */
class CountingClock extends SystemClock {
    readonly #pending: Milliseconds[] = [];

    pendingOf(duration: Milliseconds): number {
        return this.#pending.filter(pending => pending === duration).length;
    }

    override async sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
        this.#pending.push(duration);
        await super.sleep(duration, signal);
        this.#pending.splice(this.#pending.indexOf(duration), 1);
    }
}

const worker: ListedWorker = {
    worker: workerId("worker-0"),
    address: "127.0.0.1:1",
    rack: "rack",
    dataHall: "hall",
    region: "region",
    capacity: { processorThousandths: 8_000, memoryMebibytes: 8_000, accelerators: 0, slots: 8, connections: 8 },
    state: VmState.Live,
};

const submission: Submission = {
    digest: "digest",
    submission: jobSubmissionSchema.parse({
        class: WorkloadClass.Batch,
        key: "key",
        size: { processors: 1, memoryMebibytes: 1 },
    }),
};

const setUp = () => {
    const store = new TestStore();
    const clock = new CountingClock();
    const logged: { readonly event: LogEvent; readonly cause: unknown; }[] = [];
    const candidate = new ShardCandidate({
        values,
        shard: shardId("shard-0"),
        owner: processId("scheduler-0"),
        store,
        vmList: { read: async () => [worker] },
        clock,
        random: new SeededRandom(1),
        logger: { log: (event, fields) => logged.push({ event, cause: fields?.["cause"] }) },
        sharedSettings: { tree: new SettingsTree([]) } as SettingsWatch,
        metrics: undefined as unknown as ShardCandidateOptions["metrics"],
        countOwned: () => 0,
    });
    return { store, logged, candidate, clock };
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

/** Runs the candidate and, once it owns the shard, `action`. */
const withOwnedShard = async (
    candidate: ShardCandidate,
    action: (owned: OwnedShard) => Promise<void>,
): Promise<void> => {
    const stop = new AbortController();
    const running = candidate.run(stop.signal);
    for (let rounds = 0; rounds < 300 && candidate.owned === undefined; rounds++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    try {
        await action(candidate.owned!);
    }
    finally {
        stop.abort();
        await running;
    }
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
        await withOwnedShard(candidate, async owned => {
            store.beforeSwap = () => {
                throw new TypeError("the store refuses the value");
            };
            await owned.commit({ records: [{} as never], effects: [] });
            await new Promise(resolve => setTimeout(resolve, 150));
        });
        expect(logged.filter(({ event }) => event === logEvents.shardFenced)).toEqual([]);
        const failed = logged.filter(({ event }) => event === logEvents.claimFailed);
        expect(failed.map(({ cause }) => cause)).toEqual(["TypeError: the store refuses the value"]);
    });

    it("answers a repeated submission only once the first one's record is committed, whatever else changes", async () => {
        const { store, candidate, clock } = setUp();
        await withOwnedShard(candidate, async owned => {
            await owned.commitInTime(owned.scheduler.applyWorkerList([worker]));
            const release = store.holdWrites();
            const first = owned.submit(submission);
            const second = owned.submit(submission);
            await new Promise(resolve => setTimeout(resolve, 50));
            const [job] = owned.scheduler.registry.jobs.keys();
            await owned.commit({ records: [], effects: [{ kind: "job-changed", job }] });
            await new Promise(resolve => setTimeout(resolve, 50));
            release();
            const releasedAt = clock.monotonic();
            expect([(await first).kind, (await second).kind]).toEqual(["accepted", "accepted"]);
            expect(clock.monotonic() - releasedAt < commitTimeout / 2).toEqual(true);
            expect(clock.pendingOf(commitTimeout)).toEqual(0);
        });
    });

    /** Submits a job whose record is committed, and returns the service through which it is asked for. */
    const submitJob = async (candidate: ShardCandidate, owned: OwnedShard) => {
        await owned.commitInTime(owned.scheduler.applyWorkerList([worker]));
        await owned.submit(submission);
        const service = new LocalSchedulerService(values as never, {} as SettingsWatch, [candidate]);
        return { service, request: { shard: shardId("shard-0"), key: "key" } };
    };

    /* Guards against a cancelled job that runs on: its second cancellation was confirmed before the first one was recorded. */
    it("confirms a repeated cancellation only once the first one's record is committed", async () => {
        const { store, candidate } = setUp();
        await withOwnedShard(candidate, async owned => {
            const { service, request } = await submitJob(candidate, owned);
            const release = store.holdWrites();
            const confirmed: string[] = [];
            const cancel = async () => confirmed.push((await service.cancel(request)).kind);
            const cancelled = [cancel(), cancel()];
            await new Promise(resolve => setTimeout(resolve, 50));
            const confirmedEarly = [...confirmed];
            release();
            await Promise.all(cancelled);
            expect([confirmedEarly, confirmed]).toEqual([[], ["job", "job"]]);
        });
    });

    it("shows neither a job nor a decision before the record is committed", async () => {
        const { store, candidate } = setUp();
        await withOwnedShard(candidate, async owned => {
            const { service, request } = await submitJob(candidate, owned);
            const release = store.holdWrites();
            const other = { ...submission, submission: { ...submission.submission, key: "other" } };
            const submitted = owned.submit(other);
            const cancelled = service.cancel(request);
            const otherRequest = { ...request, key: "other" };
            const decisionsOf = async () => {
                const answer = await service.view(request);
                return answer.kind === "job" ? answer.history.map(({ decision }) => decision) : [];
            };
            const look =
                async () => [(await service.view(otherRequest)).kind, (await decisionsOf()).includes("cancelling")];
            const before = await look();
            release();
            await Promise.all([submitted, cancelled]);
            expect([before, await look()]).toEqual([["no-job", false], ["job", true]]);
        });
    });
});
