/** Packing benchmark: how much of the fleet is used before the first task has to wait, and under sustained overload. */
import {
    addResources,
    dimensions,
    fitsInto,
    type JobId,
    jobSubmissionSchema,
    multiplyResources,
    noResources,
    type Resources,
    SeededRandom,
    sizeOf,
} from "@pebbledale/core";
import { atLeast, type Figure, figure } from "./figures.js";
import { FirstFit, IndexPlacer, type Placer, RandomFit } from "./placers.js";
import { VirtualCell } from "./virtual/index.js";
import {
    bayanihanMix,
    type GeneratedJob,
    generateJob,
    largeMatchMix,
    retrouveMix,
    type WorkloadMix,
} from "./workload-mixes.js";

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
const hour = 3_600_000;
const nightHours = 4;
const minute = 60_000;

/** Task sizes of the mix's batch jobs that fit on one worker. */
const generateSingleTaskSizes = (mix: WorkloadMix, seed: number): Resources[] => {
    const random = new SeededRandom(seed);
    return Array.from({ length: 2_000 }, (_, index) => generateJob(mix, random, index).submission)
        .filter(job => job.class === "batch")
        .map(job => sizeOf(jobSubmissionSchema.parse(job)))
        .filter(size => fitsInto(size, mix.shape.capacity));
};

/** Processors placed before the first task that does not fit, in thousandths. */
const processorsPlacedBeforeWait = (placer: Placer, sizes: readonly Resources[]): number => {
    let processors = 0;
    for (const size of sizes) {
        if (placer.place(size) < 0) {
            break;
        }
        processors += size.processorThousandths;
    }
    return processors;
};

/**
 * Upper bound of {@link processorsPlacedBeforeWait} for any placer: processors of the longest prefix of tasks whose sum fits
 * into the capacity of the whole fleet.
 */
const processorBoundBeforeWait = (mix: WorkloadMix, sizes: readonly Resources[]): number => {
    const total = multiplyResources(mix.shape.capacity, mix.shape.count);
    let sum = noResources;
    for (const size of sizes) {
        const next = addResources(sum, size);
        if (!fitsInto(next, total)) {
            break;
        }
        sum = next;
    }
    return sum.processorThousandths;
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const measureFirstWait = (mix: WorkloadMix): Figure[] => {
    const { count, capacity } = mix.shape;
    const placerFactories: (() => Placer)[] = [
        () => new IndexPlacer(count, capacity),
        () => new FirstFit(count, capacity),
        () => new RandomFit(count, capacity, new SeededRandom(9)),
    ];
    return placerFactories.map((create, index) => {
        const ratios = seeds.map(seed => {
            const sizes = generateSingleTaskSizes(mix, seed);
            return processorsPlacedBeforeWait(create(), sizes) / processorBoundBeforeWait(mix, sizes);
        });
        const name = `${mix.name}: placed at the first wait over the bound, ${create().name}`;
        return index === 0 ? atLeast(name, mean(ratios) * 100, "%", 95) : figure(name, mean(ratios) * 100, "%");
    });
};

/**
 * Simulates four hours with more work than fits, and returns the mean share of the scarcest resource that is granted. The
 * first half hour is not counted.
 */
const measureNight = (mix: WorkloadMix, preference: string): number => {
    const runDurations = new Map<string, number>();
    const cell = new VirtualCell({
        shape: mix.shape,
        seed: 21,
        settings: [
            ...mix.settings.filter(line => !line.startsWith("placement.")),
            `placement.preference = ${preference}`,
            "placement.headroom = 0%",
            "queue.limit = 1000000",
        ],
        runDurationOf: (job: JobId) => runDurations.get(job) ?? 0,
    });
    const random = new SeededRandom(22);
    let index = 0;
    const submit = (generated: GeneratedJob) => {
        const outcome = cell.submit(generated.submission, () => undefined);
        if (outcome?.kind === "accepted") {
            runDurations.set(outcome.job, generated.runDuration);
        }
    };
    // The queue never runs empty, so the share depends on packing alone.
    cell.clock.every(minute, () => {
        while (cell.scheduler.queue.length < 400) {
            submit(generateJob(mix, random, index++));
        }
    }, () => cell.clock.monotonic() > nightHours * hour);
    const usedShares: number[] = [];
    cell.clock.every(minute, () => {
        if (cell.clock.monotonic() < 0.5 * hour) {
            return;
        }
        let granted = noResources;
        let capacity = noResources;
        for (const entry of cell.scheduler.workers.values()) {
            capacity = addResources(capacity, entry.listed.capacity);
            for (const task of entry.tasks.values()) {
                granted = addResources(granted, task.assignment!.grant);
            }
        }
        usedShares.push(
            Math.max(...dimensions.filter(name => capacity[name] > 0).map(name => granted[name] / capacity[name])),
        );
    }, () => cell.clock.monotonic() > nightHours * hour);
    cell.clock.runUntil(nightHours * hour);
    cell.finish();
    if (cell.statistics.overCapacityStarts + cell.statistics.concurrentStarts > 0) {
        throw new Error("simulation started a task twice at once or exceeded the capacity of a worker");
    }
    return mean(usedShares);
};

/** Measures packing for the workload mixes, with first fit, random fit and spreading as baselines. */
export const benchPacking = (): Figure[] => [
    ...measureFirstWait(retrouveMix),
    ...measureFirstWait(bayanihanMix),
    ...measureFirstWait(largeMatchMix),
    atLeast("retrouve: scarcest dimension in use over a night, pack", measureNight(retrouveMix, "pack") * 100, "%", 95),
    figure("retrouve: scarcest dimension in use over a night, spread", measureNight(retrouveMix, "spread") * 100, "%"),
];
