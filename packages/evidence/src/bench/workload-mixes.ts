/** Synthetic workloads modelled on the two organisations. */
import type { Random } from "@pebbledale/core";
import { bayanihanShape, type FleetShape, retrouveShape } from "@pebbledale/stand-ins";

/** A generated job with its actual run time, which its submission does not contain. */
export interface GeneratedJob {
    readonly submission: {
        readonly key: string;
        readonly class: string;
        readonly tasks: number;
        readonly priority: string;
        readonly unrepeatable: boolean;
        readonly expectedRunMilliseconds: number;
        readonly size: { readonly processors: number; readonly memoryMebibytes: number; readonly slots: number; };
    };
    /** Actual run time of each task, in milliseconds. */
    readonly runDuration: number;
}

/**
 * One kind of job in a mix. Pairs are inclusive ranges from which values are drawn uniformly; the shares of a mix add up
 * to 1.
 */
interface JobKind {
    readonly name: string;
    readonly share: number;
    readonly class: string;
    readonly priority: string;
    readonly unrepeatable: boolean;
    readonly tasks: readonly [number, number];
    readonly processors: readonly [number, number];
    readonly memoryMebibytes: readonly [number, number];
    readonly slots: readonly [number, number];
    readonly runDuration: readonly [number, number];
}

/** Fleet, settings and kinds of jobs of one workload. */
export interface WorkloadMix {
    readonly name: string;
    readonly shape: FleetShape;
    readonly settings: readonly string[];
    readonly kinds: readonly JobKind[];
}

/** One job in this many demands more processors than any worker has. */
const infeasibleInterval = 200;
/** Declared run times differ from actual ones by up to this factor in either direction. */
const maxDeclarationFactor = 4;
const second = 1_000;
const gibibyte = 1_024;

/** Workload of Bayanihan: short scripts and unrepeatable builds. */
export const bayanihanMix: WorkloadMix = {
    name: "bayanihan",
    shape: bayanihanShape,
    settings: ["placement.preference = spread", "placement.headroom = 10%"],
    kinds: [
        {
            name: "script",
            share: 0.8,
            class: "batch",
            priority: "normal",
            unrepeatable: false,
            tasks: [1, 1],
            processors: [1, 6],
            memoryMebibytes: [2 * gibibyte, 12 * gibibyte],
            slots: [1, 1],
            runDuration: [1 * second, 10 * second],
        },
        {
            name: "build",
            share: 0.2,
            class: "batch",
            priority: "patient",
            unrepeatable: true,
            tasks: [1, 1],
            processors: [8, 24],
            memoryMebibytes: [16 * gibibyte, 48 * gibibyte],
            slots: [1, 2],
            runDuration: [20 * second, 90 * second],
        },
    ],
};

/** Workload of Retrouve: unrepeatable photo matches, and reindexing in gangs. */
export const retrouveMix: WorkloadMix = {
    name: "retrouve",
    shape: retrouveShape,
    settings: ["placement.preference = pack", "placement.headroom = 0%"],
    kinds: [
        {
            name: "match",
            share: 0.97,
            class: "batch",
            priority: "patient",
            unrepeatable: true,
            tasks: [1, 1],
            processors: [2, 16],
            memoryMebibytes: [8 * gibibyte, 64 * gibibyte],
            slots: [1, 2],
            runDuration: [30 * second, 300 * second],
        },
        {
            name: "reindex",
            share: 0.03,
            class: "gang",
            priority: "patient",
            unrepeatable: false,
            tasks: [4, 16],
            processors: [4, 8],
            memoryMebibytes: [16 * gibibyte, 32 * gibibyte],
            slots: [1, 1],
            runDuration: [120 * second, 600 * second],
        },
    ],
};

/** Variant of {@link retrouveMix} with tasks so large that processors and memory are exhausted before slots. */
export const largeMatchMix: WorkloadMix = {
    ...retrouveMix,
    name: "retrouve, large matches",
    kinds: [{
        ...retrouveMix.kinds[0],
        share: 1,
        processors: [4, 40],
        memoryMebibytes: [8 * gibibyte, 160 * gibibyte],
        slots: [1, 1],
    }],
};

const randomInteger = (random: Random, [min, max]: readonly [number, number]): number =>
    min + Math.floor(random.next() * (max - min + 1));

/** Generates a job of a mix. Deterministic for the state of `random` and `index`. */
export const generateJob = (mix: WorkloadMix, random: Random, index: number): GeneratedJob => {
    let kind = mix.kinds[mix.kinds.length - 1];
    let point = random.next();
    for (const candidate of mix.kinds) {
        if (point < candidate.share) {
            kind = candidate;
            break;
        }
        point -= candidate.share;
    }
    const runDuration = randomInteger(random, kind.runDuration);
    const declaredDuration = Math.max(1, Math.round(runDuration * maxDeclarationFactor ** (random.next() * 2 - 1)));
    const isInfeasible = (index + 1) % infeasibleInterval === 0;
    return {
        runDuration,
        submission: {
            key: `${kind.name}-${index}`,
            class: kind.class,
            priority: kind.priority,
            unrepeatable: kind.unrepeatable,
            tasks: randomInteger(random, kind.tasks),
            expectedRunMilliseconds: declaredDuration,
            size: {
                processors: isInfeasible ? 1_000 : randomInteger(random, kind.processors),
                memoryMebibytes: randomInteger(random, kind.memoryMebibytes),
                slots: randomInteger(random, kind.slots),
            },
        },
    };
};
