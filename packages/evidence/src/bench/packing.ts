/** Packing: how much is placed when the first patient task has to wait, and over a night, against bounds. */
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
import { FirstFit, IndexPlacer, type Placer, RandomFit } from "./baselines.js";
import { bayanihanMix, drawJob, type DrawnJob, largeMatchMix, type Mix, retrouveMix } from "./mixes.js";
import { atLeast, type Figure, figure } from "./table.js";
import { VirtualCell } from "./virtual/index.js";

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
const hour = 3_600_000;
const nightHours = 4;
const minute = 60_000;

const singleSizes = (mix: Mix, seed: number): Resources[] => {
    const random = new SeededRandom(seed);
    return Array.from({ length: 2_000 }, (_, index) => drawJob(mix, random, index).job)
        .filter(job => job.class === "batch")
        .map(job => sizeOf(jobSubmissionSchema.parse(job)))
        .filter(size => fitsInto(size, mix.shape.capacity));
};

/** Processors placed before the first task that does not fit. */
const placedBeforeWait = (placer: Placer, sizes: readonly Resources[]): number => {
    let processors = 0;
    for (const size of sizes) {
        if (placer.place(size) < 0) {
            break;
        }
        processors += size.processorThousandths;
    }
    return processors;
};

/** Processors of the longest run of arrivals whose sum fits the whole fleet: no packer places more before one waits. */
const boundBeforeWait = (mix: Mix, sizes: readonly Resources[]): number => {
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

const firstWait = (mix: Mix): Figure[] => {
    const { count, capacity } = mix.shape;
    const make: (() => Placer)[] = [
        () => new IndexPlacer(count, capacity),
        () => new FirstFit(count, capacity),
        () => new RandomFit(count, capacity, new SeededRandom(9)),
    ];
    return make.map((create, index) => {
        const ratios = seeds.map(seed => {
            const sizes = singleSizes(mix, seed);
            return placedBeforeWait(create(), sizes) / boundBeforeWait(mix, sizes);
        });
        const name = `${mix.name}: placed at the first wait over the bound, ${create().name}`;
        return index === 0 ? atLeast(name, mean(ratios) * 100, "%", 95) : figure(name, mean(ratios) * 100, "%");
    });
};

/** A night with more work than fits: use of the dimension that is scarcest, against all of it. */
const night = (mix: Mix, preference: string): number => {
    const runs = new Map<string, number>();
    const cell = new VirtualCell({
        shape: mix.shape,
        seed: 21,
        settings: [
            ...mix.settings.filter(line => !line.startsWith("placement.")),
            `placement.preference = ${preference}`,
            "placement.headroom = 0%",
            "queue.limit = 1000000",
        ],
        runOf: (job: JobId) => runs.get(job) ?? 0,
    });
    const random = new SeededRandom(22);
    let index = 0;
    const submitOne = (drawn: DrawnJob) => {
        const outcome = cell.submit(drawn.job, () => undefined);
        if (outcome?.kind === "accepted") {
            runs.set(outcome.job, drawn.runs);
        }
    };
    // The clerks left more in the queue than the night can do, so only packing decides what is done.
    cell.clock.every(minute, () => {
        while (cell.core.queue.length < 400) {
            submitOne(drawJob(mix, random, index++));
        }
    }, () => cell.clock.monotonic() > nightHours * hour);
    const used: number[] = [];
    cell.clock.every(minute, () => {
        if (cell.clock.monotonic() < 0.5 * hour) {
            return;
        }
        let granted = noResources;
        let capacity = noResources;
        for (const entry of cell.core.workers.values()) {
            capacity = addResources(capacity, entry.listed.capacity);
            for (const task of entry.tasks.values()) {
                granted = addResources(granted, task.assignment!.grant);
            }
        }
        used.push(
            Math.max(...dimensions.filter(name => capacity[name] > 0).map(name => granted[name] / capacity[name])),
        );
    }, () => cell.clock.monotonic() > nightHours * hour);
    cell.clock.runUntil(nightHours * hour);
    cell.finish();
    if (cell.notes.overCapacity + cell.notes.runTwice > 0) {
        throw new Error("a night broke a promise");
    }
    return mean(used);
};

/** Measures packing on both mixes. */
export const benchPacking = (): Figure[] => [
    ...firstWait(retrouveMix),
    ...firstWait(bayanihanMix),
    ...firstWait(largeMatchMix),
    atLeast("retrouve: scarcest dimension in use over a night, pack", night(retrouveMix, "pack") * 100, "%", 95),
    figure("retrouve: scarcest dimension in use over a night, spread", night(retrouveMix, "spread") * 100, "%"),
];
