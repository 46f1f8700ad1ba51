/** Slopes of the scheduler's decisions, measured in this process. */
import {
    type Attempt,
    type Epoch,
    incarnation,
    jobSubmissionSchema,
    processId,
    SeededRandom,
    shardId,
    type ShardRecord,
    ShardScheduler,
    SystemClock,
    type TaskId,
    type Transition,
    type WorkerReport,
} from "@pebbledale/core";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { bayanihanMix } from "../bench/mixes.js";
import { listShape, settingsOf } from "../bench/virtual/index.js";
import type { Slope } from "./types.js";

const workerCounts = [500, 2_000] as const;
const tasksPerWorker = 6;
const rounds = 5;
const submission = jobSubmissionSchema.parse({
    class: "batch",
    team: "scripts",
    size: { processors: 4, memoryMebibytes: 4_096 },
    payload: { script: "a".repeat(200) },
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const heapAfterCollection = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

const perItem = (count: number, act: () => void): number => {
    const started = process.cpuUsage();
    act();
    const spent = process.cpuUsage(started);
    return (spent.user + spent.system) / count;
};

/** A shard with running tasks; times of its making in microseconds each. */
class LoadedShard {
    readonly core: ShardScheduler;
    readonly records: ShardRecord[] = [];
    #number = 1;

    constructor(readonly workers: number) {
        const clock = new SystemClock();
        const settings = settingsOf(["queue.limit = 10000000", "worker.silent_after = 10m", "lease.duration = 1h"]);
        this.core = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: 1 as Epoch,
            clock,
            random: new SeededRandom(1),
            settings: () => settings,
            lastContact: () => clock.monotonic(),
            hasFormerOwner: false,
        });
        this.keep(this.core.tick());
        this.keep(this.core.applyWorkerList(listShape({ ...bayanihanMix.shape, count: workers })));
        for (const entry of this.core.workers.values()) {
            this.keep(this.core.claimAnswered(entry.worker, this.report(entry.worker, []), 0));
        }
    }

    /** Submits and places tasks until the fleet holds its fill, and confirms them. */
    fill(): { submit: number; start: number; } {
        const tasks = this.workers * tasksPerWorker;
        const submit = perItem(tasks, () => {
            for (let index = 0; index < tasks; index++) {
                this.keep(this.core.submit({ submission, digest: "d".repeat(64) }).transition);
            }
        });
        let step: Transition | undefined;
        const start = perItem(tasks, () => {
            do {
                step = this.core.schedule(true);
                this.keep(step);
                this.#confirm(step);
            }
            while (step.records.length > 0);
        });
        return { submit, start };
    }

    keep(step: Transition): void {
        this.records.push(...step.records);
        this.core.onCommitted(step);
    }

    report(worker: WorkerReport["worker"], running: WorkerReport["running"]): WorkerReport {
        return { worker, incarnation: incarnation("1"), number: this.#number++, leaving: false, running, ended: [] };
    }

    /** One heartbeat of every worker; sizes of the messages in bytes. */
    heartbeats(): { out: number; back: number; } {
        let out = 0;
        let back = 0;
        for (const entry of this.core.workers.values()) {
            const message = this.core.nextHeartbeat(entry.worker, 1_000);
            const running = [...entry.tasks.values()].map(task => ({
                task: task.task,
                attempt: task.attempt,
                usage: task.assignment!.grant,
            }));
            const report = this.report(entry.worker, running);
            out += JSON.stringify(message).length;
            back += JSON.stringify(report).length;
            this.keep(
                this.core.heartbeatAnswered(entry.worker, JSON.parse(JSON.stringify(report)) as WorkerReport, Infinity),
            );
        }
        return { out: out / this.workers, back: back / this.workers };
    }

    #confirm(step: Transition): void {
        for (const effect of step.effects) {
            if (effect.kind === "start") {
                const { task, attempt }: { task: TaskId; attempt: Attempt; } = effect;
                this.core.startMessage(task, attempt, false);
                this.core.startAccepted(task, attempt, { task, attempt, usage: bayanihanMix.shape.capacity });
            }
        }
    }
}

const recordBytes = (records: readonly ShardRecord[], kind: ShardRecord["kind"]): number => {
    const chosen = records.filter(record => record.kind === kind);
    return JSON.stringify(chosen).length / Math.max(1, chosen.length);
};

/** Measures the decisions' slopes at two sizes of a shard. */
export const measureDecisionSlopes = (): Slope[] => {
    const slopes: Slope[] = [];
    const add = (what: string, value: number, unit: string) => slopes.push({ role: "scheduler", what, value, unit });
    const idle = heapAfterCollection();
    const empty = new LoadedShard(workerCounts[1]);
    const withWorkers = heapAfterCollection();
    add("memory a worker", (withWorkers - idle) / workerCounts[1], "bytes");
    const { submit, start } = empty.fill();
    empty.records.length = 0;
    const withTasks = heapAfterCollection();
    add("memory a running job of one task", (withTasks - withWorkers) / (workerCounts[1] * tasksPerWorker), "bytes");
    add("processor a submission (decision only)", submit, "us");
    add("processor a start (decision, message, confirmation)", start, "us");
    for (const count of workerCounts) {
        const shard = count === workerCounts[1] ? empty : new LoadedShard(count);
        if (shard !== empty) {
            shard.fill();
        }
        shard.heartbeats();
        let sizes = { out: 0, back: 0 };
        const beat = perItem(count * rounds, () => {
            for (let round = 0; round < rounds; round++) {
                sizes = shard.heartbeats();
            }
        });
        add(`processor a heartbeat with ${tasksPerWorker} tasks (decision and JSON) at ${count} workers`, beat, "us");
        const tick = perItem(count * rounds * 10, () => {
            for (let round = 0; round < rounds * 10; round++) {
                shard.keep(shard.core.tick());
            }
        });
        add(`processor a worker and tick at ${count} workers`, tick, "us");
        if (count === workerCounts[1]) {
            add(`heartbeat to a worker with ${tasksPerWorker} tasks, body`, sizes.out, "bytes");
            add(`heartbeat's answer with ${tasksPerWorker} tasks, body`, sizes.back, "bytes");
        }
    }
    const small = new LoadedShard(workerCounts[0]);
    small.fill();
    add("journal: a submitted record", recordBytes(small.records, "submitted"), "bytes");
    add("journal: a starting record", recordBytes(small.records, "starting"), "bytes");
    const snapshot = JSON.stringify(small.core.registry.snapshot()).length;
    add("snapshot a running job", snapshot / small.core.registry.jobs.size, "bytes");
    const service = processId("gateway-0");
    const acquire = perItem(10_000, () => {
        for (let index = 0; index < 10_000; index++) {
            small.core.acquireSlots("none", { gateway: service, dataHall: "", demand: 1, held: [] });
        }
    });
    add("processor a request for slots of an unknown service", acquire, "us");
    return slopes;
};
