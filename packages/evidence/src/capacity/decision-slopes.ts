/** Costs of the scheduler's decisions, measured in this process without network and storage. */
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
import { createListedWorkers, parseShardSettings } from "../bench/virtual/index.js";
import { bayanihanMix } from "../bench/workload-mixes.js";
import type { Slope } from "./types.js";

const workerCounts = [500, 2_000] as const;
const tasksPerWorker = 6;
const roundCount = 5;
const submission = jobSubmissionSchema.parse({
    class: "batch",
    team: "scripts",
    size: { processors: 4, memoryMebibytes: 4_096 },
    payload: { script: "a".repeat(200) },
});

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const measureHeap = (): number => {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

/** Processor time of an action divided by the number of items that it handles, in microseconds. */
const processorTimePerItem = (count: number, action: () => void): number => {
    const started = process.cpuUsage();
    action();
    const spent = process.cpuUsage(started);
    return (spent.user + spent.system) / count;
};

/** A shard's scheduler with workers that accept every task. Each transition is committed at once, without a journal. */
class LoadedShard {
    readonly scheduler: ShardScheduler;
    readonly records: ShardRecord[] = [];
    #nextReportNumber = 1;

    constructor(readonly workers: number) {
        const clock = new SystemClock();
        const settings = parseShardSettings([
            "queue.limit = 10000000",
            "worker.silent_after = 10m",
            "lease.duration = 1h",
        ]);
        this.scheduler = new ShardScheduler({
            shard: shardId("shard-0"),
            epoch: 1 as Epoch,
            clock,
            random: new SeededRandom(1),
            settings: () => settings,
            lastContact: () => clock.monotonic(),
            hasFormerOwner: false,
        });
        this.commit(this.scheduler.tick());
        this.commit(this.scheduler.applyWorkerList(createListedWorkers({ ...bayanihanMix.shape, count: workers })));
        for (const entry of this.scheduler.workers.values()) {
            this.commit(this.scheduler.claimAnswered(entry.worker, this.createReport(entry.worker, []), 0));
        }
    }

    /**
     * Submits and starts {@link tasksPerWorker} tasks per worker; returns the processor time of each in microseconds.
     */
    fill(): { submit: number; start: number; } {
        const tasks = this.workers * tasksPerWorker;
        const submit = processorTimePerItem(tasks, () => {
            for (let index = 0; index < tasks; index++) {
                this.commit(this.scheduler.submit({ submission, digest: "d".repeat(64) }).transition);
            }
        });
        let transition: Transition | undefined;
        const start = processorTimePerItem(tasks, () => {
            do {
                transition = this.scheduler.schedule(true);
                this.commit(transition);
                this.#acceptStarts(transition);
            }
            while (transition.records.length > 0);
        });
        return { submit, start };
    }

    commit(transition: Transition): void {
        this.records.push(...transition.records);
        this.scheduler.onCommitted(transition);
    }

    createReport(worker: WorkerReport["worker"], running: WorkerReport["running"]): WorkerReport {
        return {
            worker,
            incarnation: incarnation("1"),
            number: this.#nextReportNumber++,
            leaving: false,
            running,
            ended: [],
        };
    }

    /**
     * Exchanges one heartbeat with every worker; returns the mean sizes of heartbeat (`out`) and report (`back`) in
     * bytes.
     */
    exchangeHeartbeats(): { out: number; back: number; } {
        let out = 0;
        let back = 0;
        for (const entry of this.scheduler.workers.values()) {
            const message = this.scheduler.nextHeartbeat(entry.worker, 1_000);
            const running = [...entry.tasks.values()].map(task => ({
                task: task.task,
                attempt: task.attempt,
                usage: task.assignment!.grant,
            }));
            const report = this.createReport(entry.worker, running);
            out += JSON.stringify(message).length;
            back += JSON.stringify(report).length;
            this.commit(
                this.scheduler.heartbeatAnswered(
                    entry.worker,
                    JSON.parse(JSON.stringify(report)) as WorkerReport,
                    Infinity,
                ),
            );
        }
        return { out: out / this.workers, back: back / this.workers };
    }

    #acceptStarts(transition: Transition): void {
        for (const effect of transition.effects) {
            if (effect.kind === "start") {
                const { task, attempt }: { task: TaskId; attempt: Attempt; } = effect;
                // Records the lease grant and builds the message, which is not sent: its cost is part of the measurement.
                this.scheduler.startMessage(task, attempt, false);
                this.scheduler.startAccepted(task, attempt, { task, attempt, usage: bayanihanMix.shape.capacity });
            }
        }
    }
}

const meanRecordBytes = (records: readonly ShardRecord[], kind: ShardRecord["kind"]): number => {
    const matching = records.filter(record => record.kind === kind);
    return JSON.stringify(matching).length / Math.max(1, matching.length);
};

/** Measures memory, processor time and message sizes of a shard; heartbeats and ticks are measured at two fleet sizes. */
export const measureDecisionSlopes = (): Slope[] => {
    const slopes: Slope[] = [];
    const add = (what: string, value: number, unit: string) => slopes.push({ role: "scheduler", what, value, unit });
    const emptyHeap = measureHeap();
    const largeShard = new LoadedShard(workerCounts[1]);
    const heapWithWorkers = measureHeap();
    add("memory a worker", (heapWithWorkers - emptyHeap) / workerCounts[1], "bytes");
    const { submit, start } = largeShard.fill();
    // The collected records do not count as memory of the scheduler.
    largeShard.records.length = 0;
    const heapWithTasks = measureHeap();
    add(
        "memory a running job of one task",
        (heapWithTasks - heapWithWorkers) / (workerCounts[1] * tasksPerWorker),
        "bytes",
    );
    add("processor a submission (decision only)", submit, "us");
    add("processor a start (decision, message, confirmation)", start, "us");
    for (const count of workerCounts) {
        const shard = count === workerCounts[1] ? largeShard : new LoadedShard(count);
        if (shard !== largeShard) {
            shard.fill();
        }
        shard.exchangeHeartbeats();
        let sizes = { out: 0, back: 0 };
        const heartbeat = processorTimePerItem(count * roundCount, () => {
            for (let round = 0; round < roundCount; round++) {
                sizes = shard.exchangeHeartbeats();
            }
        });
        add(
            `processor a heartbeat with ${tasksPerWorker} tasks (decision and JSON) at ${count} workers`,
            heartbeat,
            "us",
        );
        const tick = processorTimePerItem(count * roundCount * 10, () => {
            for (let round = 0; round < roundCount * 10; round++) {
                shard.commit(shard.scheduler.tick());
            }
        });
        add(`processor a worker and tick at ${count} workers`, tick, "us");
        if (count === workerCounts[1]) {
            add(`heartbeat to a worker with ${tasksPerWorker} tasks, body`, sizes.out, "bytes");
            add(`heartbeat's answer with ${tasksPerWorker} tasks, body`, sizes.back, "bytes");
        }
    }
    const smallShard = new LoadedShard(workerCounts[0]);
    smallShard.fill();
    add("journal: a submitted record", meanRecordBytes(smallShard.records, "submitted"), "bytes");
    add("journal: a starting record", meanRecordBytes(smallShard.records, "starting"), "bytes");
    const snapshot = JSON.stringify(smallShard.scheduler.registry.snapshot()).length;
    add("snapshot a running job", snapshot / smallShard.scheduler.registry.jobs.size, "bytes");
    const gateway = processId("gateway-0");
    const acquire = processorTimePerItem(10_000, () => {
        for (let index = 0; index < 10_000; index++) {
            smallShard.scheduler.acquireSlots("none", { gateway, dataHall: "", demand: 1, held: [] });
        }
    });
    add("processor a request for slots of an unknown service", acquire, "us");
    return slopes;
};
