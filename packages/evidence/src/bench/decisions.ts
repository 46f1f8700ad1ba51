/** Throughput and latency of placement decisions. */
import {
    type Epoch,
    type JobSubmission,
    jobSubmissionSchema,
    type Random,
    type Resources,
    SeededRandom,
    shardId,
    ShardScheduler,
    sizeOf,
    SystemClock,
} from "@pebbledale/core";
import { build } from "hdr-histogram-js";
import { atLeast, atMost, type Figure, figure } from "./figures.js";
import { BestFitScan, FirstFit, IndexPlacer, type Placer, RandomFit } from "./placers.js";
import { createListedWorkers, parseShardSettings } from "./virtual/index.js";
import { bayanihanMix, generateJob } from "./workload-mixes.js";

const fleetSizes = [30, 1_000, 10_000];
const { capacity } = bayanihanMix.shape;
/** Share of the fleet's processors that is granted before a placer is measured. */
const fillShare = 0.8;
const sampleCount = 4_096;
const placerSeconds = 1;
const peakStartsPerSecond = 3_800;
const batchCount = 60;
/** Replaces `fillShare` for {@link BestFitScan} on large fleets, because it is too slow to fill them further. */
const scanFillShare = 0.1;

const generateSizes = (random: Random): Resources[] =>
    Array.from(
        { length: sampleCount },
        (_, index) => sizeOf(jobSubmissionSchema.parse(generateJob(bayanihanMix, random, index).submission)),
    )
        .filter(size => size.processorThousandths <= capacity.processorThousandths);

/** Placements per second at a steady fill: each round releases one task and places another. */
const measurePlacer = (placer: Placer, count: number): number => {
    const random = new SeededRandom(11);
    const sizes = generateSizes(random);
    const placed: { worker: number; size: Resources; }[] = [];
    let used = 0;
    const isSlow = placer instanceof BestFitScan && count > 1_000;
    const target = count * capacity.processorThousandths * (isSlow ? scanFillShare : fillShare);
    for (let index = 0; used < target; index++) {
        const size = sizes[index % sizes.length];
        const worker = placer.place(size);
        if (worker < 0) {
            break;
        }
        placed.push({ worker, size });
        used += size.processorThousandths;
    }
    let decisions = 0;
    const started = performance.now();
    const end = started + placerSeconds * 1_000;
    while (performance.now() < end) {
        for (let round = 0; round < 16; round++) {
            const index = Math.floor(random.next() * placed.length);
            placer.release(placed[index].worker, placed[index].size);
            const size = sizes[decisions % sizes.length];
            const worker = placer.place(size);
            decisions++;
            if (worker >= 0) {
                placed[index] = { worker, size };
            }
            else {
                placed[index] = placed[placed.length - 1];
                placed.pop();
            }
        }
    }
    return decisions / (performance.now() - started) * 1_000;
};

interface FullDecisionResult {
    readonly perSecond: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
}

/**
 * Measures complete scheduling cycles of {@link ShardScheduler}, from taking a job off the queue to recording the
 * reason. Percentiles are in microseconds per started task.
 */
const measureFullDecision = (count: number): FullDecisionResult => {
    const clock = new SystemClock();
    const random = new SeededRandom(5);
    const settings = parseShardSettings([
        "placement.preference = spread",
        "queue.limit = 1000000",
        "worker.silent_after = 10m",
    ]);
    const scheduler = new ShardScheduler({
        shard: shardId("shard-0"),
        epoch: 1 as Epoch,
        clock,
        random,
        settings: () => settings,
        lastContact: () => clock.monotonic(),
        hasFormerOwner: false,
    });
    scheduler.onCommitted(scheduler.tick());
    scheduler.applyWorkerList(createListedWorkers({ ...bayanihanMix.shape, count }));
    for (const entry of scheduler.workers.values()) {
        const report = {
            worker: entry.worker,
            incarnation: "1" as never,
            number: 1,
            leaving: false,
            running: [],
            ended: [],
        };
        scheduler.claimAnswered(entry.worker, report, 0);
    }
    const submissions: JobSubmission[] = generateSizes(random).map(size =>
        jobSubmissionSchema.parse({
            class: "batch",
            size: {
                processors: size.processorThousandths / 1000,
                memoryMebibytes: size.memoryMebibytes,
                slots: size.slots,
            },
        })
    );
    const histogram = build();
    let decided = 0;
    let totalDuration = 0;
    // Jobs arrive between two scheduling cycles in batches of skewed size: many small ones, some bursts.
    const maxArrivals = Math.min(peakStartsPerSecond / 4, count * 2);
    for (let batch = 0; batch < batchCount; batch++) {
        const arrivals = Math.max(1, Math.floor(random.next() ** 3 * maxArrivals));
        for (let index = 0; index < arrivals; index++) {
            scheduler.onCommitted(
                scheduler.submit({
                    submission: submissions[Math.floor(random.next() * submissions.length)],
                    digest: "",
                })
                    .transition,
            );
        }
        const started = performance.now();
        const transition = scheduler.schedule(true);
        const duration = performance.now() - started;
        scheduler.onCommitted(transition);
        const starts = transition.effects.filter(effect => effect.kind === "start");
        decided += starts.length;
        totalDuration += duration;
        if (starts.length > 0) {
            histogram.recordValueWithCount(
                Math.max(1, Math.round(duration / starts.length * 1_000_000)),
                starts.length,
            );
        }
        endRunningTasks(scheduler, batch);
    }
    const microseconds = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1_000;
    return {
        perSecond: decided / totalDuration * 1_000,
        p50: microseconds(50),
        p99: microseconds(99),
        p999: microseconds(99.9),
    };
};

/** Ends all running tasks after every fourth batch, so that the fleet does not fill up. */
const endRunningTasks = (scheduler: ShardScheduler, batch: number): void => {
    if (batch % 4 !== 3) {
        return;
    }
    for (const entry of [...scheduler.workers.values()].filter(worker => worker.tasks.size > 0)) {
        const ended = [...entry.tasks.values()].map(task => ({
            task: task.task,
            attempt: task.attempt,
            kind: "succeeded" as never,
            output: "",
            ranFor: 0,
        }));
        const report = {
            worker: entry.worker,
            incarnation: "1" as never,
            number: 1,
            leaving: false,
            running: [],
            ended,
        };
        scheduler.onCommitted(scheduler.heartbeatAnswered(entry.worker, report, 0));
    }
};

/** Measures placers and complete decisions for three fleet sizes. */
export const benchDecisions = (): Figure[] => {
    const figures: Figure[] = [];
    const costs = new Map<number, number>();
    for (const count of fleetSizes) {
        const placers = [
            new IndexPlacer(count, capacity),
            new FirstFit(count, capacity),
            new RandomFit(count, capacity, new SeededRandom(3)),
            new BestFitScan(count, capacity),
        ];
        for (const placer of placers) {
            figures.push(
                figure(
                    `${placer.name}: placements/s at ${count} workers`,
                    Math.round(measurePlacer(placer, count)),
                    "/s",
                ),
            );
        }
        // The first run warms up the JIT compiler.
        measureFullDecision(count);
        const fullDecision = measureFullDecision(count);
        costs.set(count, 1 / fullDecision.perSecond);
        const name = `whole decision at ${count} workers`;
        const perSecond = Math.round(fullDecision.perSecond);
        figures.push(count === 10_000 ? atLeast(name, perSecond, "/s", 100_000) : figure(name, perSecond, "/s"));
        figures.push(figure(`${name}, p50`, fullDecision.p50, "us"));
        figures.push(
            count === 10_000
                ? atMost(`${name}, p99`, fullDecision.p99, "us", 100)
                : figure(`${name}, p99`, fullDecision.p99, "us"),
        );
        figures.push(figure(`${name}, p99.9`, fullDecision.p999, "us"));
    }
    figures.push(
        atMost("cost of a decision at 10,000 over that at 30", costs.get(10_000)! / costs.get(30)!, "times", 3),
    );
    return figures;
};
