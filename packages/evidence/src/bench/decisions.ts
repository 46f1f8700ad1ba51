/** How many placements are decided a second, and how long one takes. */
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
import { BestFitScan, FirstFit, IndexPlacer, type Placer, RandomFit } from "./baselines.js";
import { bayanihanMix, drawJob } from "./mixes.js";
import { atLeast, atMost, type Figure, figure } from "./table.js";
import { listShape, settingsOf } from "./virtual/index.js";

const fleetSizes = [30, 1_000, 10_000];
const { capacity } = bayanihanMix.shape;
/** Share of the processors that is taken while decisions are measured. */
const fill = 0.8;
const drawnSizes = 4_096;
const indexSeconds = 1;
const peakStartsPerSecond = 3_800;
const wholeBatches = 60;
/** The plain scan is too slow to fill the largest fleet in reasonable time; it starts from a smaller fill there. */
const scanFill = 0.1;

const drawSizes = (random: Random): Resources[] =>
    Array.from(
        { length: drawnSizes },
        (_, index) => sizeOf(jobSubmissionSchema.parse(drawJob(bayanihanMix, random, index).job)),
    )
        .filter(size => size.processorThousandths <= capacity.processorThousandths);

/** Placements a second at a steady fill: each round gives one task's room back and places another. */
const measurePlacer = (placer: Placer, count: number): number => {
    const random = new SeededRandom(11);
    const sizes = drawSizes(random);
    const placed: { worker: number; size: Resources; }[] = [];
    let used = 0;
    const isSlow = placer instanceof BestFitScan && count > 1_000;
    const target = count * capacity.processorThousandths * (isSlow ? scanFill : fill);
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
    const end = started + indexSeconds * 1_000;
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

interface WholeResult {
    readonly perSecond: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
}

/** The whole decision in the real scheduler: queue, quota, filter, score, grant, recorded reason. Times in microseconds. */
const measureWhole = (count: number): WholeResult => {
    const clock = new SystemClock();
    const random = new SeededRandom(5);
    const settings = settingsOf([
        "placement.preference = spread",
        "queue.limit = 1000000",
        "worker.silent_after = 10m",
    ]);
    const core = new ShardScheduler({
        shard: shardId("shard-0"),
        epoch: 1 as Epoch,
        clock,
        random,
        settings: () => settings,
        lastContact: () => clock.monotonic(),
        hasFormerOwner: false,
    });
    core.onCommitted(core.tick());
    core.applyWorkerList(listShape({ ...bayanihanMix.shape, count }));
    for (const entry of core.workers.values()) {
        const report = {
            worker: entry.worker,
            incarnation: "1" as never,
            number: 1,
            leaving: false,
            running: [],
            ended: [],
        };
        core.claimAnswered(entry.worker, report, 0);
    }
    const submissions: JobSubmission[] = drawSizes(random).map(size =>
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
    let spent = 0;
    // A second at the peak: batches of what arrives between two passes, small ones and bursts.
    const largest = Math.min(peakStartsPerSecond / 4, count * 2);
    for (let batch = 0; batch < wholeBatches; batch++) {
        const arrivals = Math.max(1, Math.floor(random.next() ** 3 * largest));
        for (let index = 0; index < arrivals; index++) {
            core.onCommitted(
                core.submit({ submission: submissions[Math.floor(random.next() * submissions.length)], digest: "" })
                    .transition,
            );
        }
        const started = performance.now();
        const step = core.schedule(true);
        const took = performance.now() - started;
        core.onCommitted(step);
        const starts = step.effects.filter(effect => effect.kind === "start");
        decided += starts.length;
        spent += took;
        if (starts.length > 0) {
            histogram.recordValueWithCount(Math.max(1, Math.round(took / starts.length * 1_000_000)), starts.length);
        }
        endAll(core, batch);
    }
    const micro = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1_000;
    return { perSecond: decided / spent * 1_000, p50: micro(50), p99: micro(99), p999: micro(99.9) };
};

/** Ends all running tasks but those of the last pass, so that the fleet keeps a fill. */
const endAll = (core: ShardScheduler, batch: number): void => {
    if (batch % 4 !== 3) {
        return;
    }
    for (const entry of [...core.workers.values()].filter(other => other.tasks.size > 0)) {
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
        core.onCommitted(core.heartbeatAnswered(entry.worker, report, 0));
    }
};

/** Measures decisions at three sizes of fleet, with baselines beside them. */
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
        // The first run warms the code up; the second is counted.
        measureWhole(count);
        const whole = measureWhole(count);
        costs.set(count, 1 / whole.perSecond);
        const name = `whole decision at ${count} workers`;
        const perSecond = Math.round(whole.perSecond);
        figures.push(count === 10_000 ? atLeast(name, perSecond, "/s", 100_000) : figure(name, perSecond, "/s"));
        figures.push(figure(`${name}, p50`, whole.p50, "us"));
        figures.push(
            count === 10_000 ? atMost(`${name}, p99`, whole.p99, "us", 100) : figure(`${name}, p99`, whole.p99, "us"),
        );
        figures.push(figure(`${name}, p99.9`, whole.p999, "us"));
    }
    figures.push(
        atMost("cost of a decision at 10,000 over that at 30", costs.get(10_000)! / costs.get(30)!, "times", 3),
    );
    return figures;
};
