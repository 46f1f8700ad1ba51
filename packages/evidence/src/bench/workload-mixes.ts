/** The users' mixes of work, drawn from a seed. */
import type { Random } from "@pebbledale/core";
import { bayanihanShape, type FleetShape, retrouveShape } from "@pebbledale/stand-ins";

/** A job with what its caller does not know. */
export interface GeneratedJob {
    /** As submitted. */
    readonly submission: {
        readonly key: string;
        readonly class: string;
        readonly tasks: number;
        readonly priority: string;
        readonly unrepeatable: boolean;
        readonly expectedRunMilliseconds: number;
        readonly size: { readonly processors: number; readonly memoryMebibytes: number; readonly slots: number; };
    };
    /** How long each task really runs. */
    readonly runDuration: number;
}

/** A kind of work within a mix. */
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

/** One user's workers, settings and work. */
export interface WorkloadMix {
    readonly name: string;
    readonly shape: FleetShape;
    readonly settings: readonly string[];
    readonly kinds: readonly JobKind[];
}

/** One job in this many can never run. */
const infeasibleInterval = 200;
/** Declared run times are off by up to this factor either way. */
const maxDeclarationFactor = 4;
const second = 1_000;
const gibibyte = 1_024;

/** Script assembly and campaign builds. */
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

/** Photo matches and reindexing in gangs. */
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

/** Photo matches over whole collections: few on a worker, so that processors and memory run out before slots. */
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

/** Draws the next job of a mix. */
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
        runDuration: runDuration,
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
