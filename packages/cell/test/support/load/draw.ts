/** Draws the jobs of a load pattern, alike for the same seed. */
import { type Milliseconds, organisationName, queueName, SeededRandom } from "@pebbledale/core";
import type { JobDefinition, StepDefinition } from "../../../src/index.js";
import { makeJob, makeStep } from "../builders.js";
import type { Burst, Distribution, LoadPattern, QueueLoad, Swing } from "./pattern.js";

/** A job with what only the pattern knows of it. */
export interface LoadJob {
    readonly at: Milliseconds;
    readonly load: QueueLoad;
    readonly definition: JobDefinition;
    /** By step and task, what the task takes on a worker of full speed. */
    readonly taskWork: readonly (readonly Milliseconds[])[];
    /** By step, the task that fails once, if one does. */
    readonly failingTasks: readonly (number | undefined)[];
    /** Whether its organisation has not handed in more jobs in its second than its weight. */
    readonly isEntitled: boolean;
    /** Core-seconds of all its tasks. */
    readonly coreSeconds: number;
    /** The longest chain of work. */
    readonly criticalPath: Milliseconds;
    /** When its caller cancels it, after it was handed in; undefined when its tasks end by themselves. */
    readonly lifetime: Milliseconds | undefined;
}

const millisecondsPerSecond = 1_000;
/** Arrivals are drawn in slices of this length. */
const slice: Milliseconds = 10;

/** Draws sizes from one generator. */
export class Sampler {
    constructor(private readonly random: SeededRandom) {}

    /** True with this chance. */
    happens(chance: number): boolean {
        return this.random.next() < chance;
    }

    /** A whole number from 0, below a limit. */
    below(limit: number): number {
        return Math.floor(this.random.next() * limit);
    }

    /** A factor around 1, off by at most a share. */
    around(share: number): number {
        return 1 + (this.random.next() * 2 - 1) * share;
    }

    /** A factor whose logarithm is off by at most `error`. */
    factor(error: number): number {
        return Math.exp((this.random.next() * 2 - 1) * error);
    }

    /** A size of a spread. */
    size({ mean, spread, max: most }: Distribution): number {
        const variance = Math.log(1 + spread * spread);
        const drawn = Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance) * this.#normal());
        return Math.min(most, drawn);
    }

    /** A whole number of a spread, from 1. */
    count(spread: Distribution): number {
        return Math.max(1, Math.round(this.size(spread)));
    }

    /** Of the standard normal distribution (Box and Muller). */
    #normal(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
        return radius * Math.cos(2 * Math.PI * this.random.next());
    }
}

/** All jobs of a pattern, in the order of their arrival. */
export const generateJobs = (pattern: LoadPattern): LoadJob[] => {
    const jobs: LoadJob[] = [];
    for (const load of pattern.queues) {
        const drawer = new Sampler(new SeededRandom(pattern.seed + 7_919 * (1 + pattern.queues.indexOf(load))));
        for (let at = 0; at < pattern.duration; at += slice) {
            const factor = factorAt(pattern.bursts, load, at) * swingAt(pattern.swing, at);
            const expected = load.perSecond * factor * slice / millisecondsPerSecond;
            let left = expected;
            while (left > 0 && drawer.happens(Math.min(1, left))) {
                jobs.push(generateJob(drawer, load, at, `${load.name}${jobs.length}`));
                left -= 1;
            }
        }
    }
    const dealt = assignOrganisations(pattern, jobs.sort((left, right) => left.at - right.at));
    return pattern.excludesSurplus === true ? dealt.filter(({ isEntitled: isOwed }) => isOwed) : dealt;
};

/** Gives each job to an organisation by the weights; those beyond the usual ones of a burst to the one that sends it. */
const assignOrganisations = (
    { organisations = [], bursts, seed }: LoadPattern,
    jobs: readonly LoadJob[],
): LoadJob[] => {
    const drawer = new Sampler(new SeededRandom(seed + 104_729));
    const counts = new Map<string, number>();
    const weights = organisations.reduce((sum, { weight }) => sum + weight, 0);
    return jobs.map(job => {
        const burst = bursts.find(({ queue, organisation, at, duration: lasts }) =>
            organisation !== undefined && queue === job.load.name && job.at >= at && job.at < at + lasts
        );
        const isOfBurst = burst !== undefined && drawer.happens(1 - 1 / burst.factor);
        let place = drawer.below(weights);
        const drawn = organisations.find(({ weight }) => (place -= weight) < 0)?.name;
        const name = isOfBurst ? burst.organisation : drawn;
        if (name === undefined) {
            return job;
        }
        const second = `${name} ${Math.floor(job.at / millisecondsPerSecond)}`;
        const count = (counts.get(second) ?? 0) + 1;
        counts.set(second, count);
        const isOwed = count <= organisations.find(other => other.name === name)!.weight;
        return { ...job, isEntitled: isOwed, definition: { ...job.definition, organisation: organisationName(name) } };
    });
};

const factorAt = (bursts: readonly Burst[], { name }: QueueLoad, at: Milliseconds): number =>
    bursts
        .filter(burst => burst.queue === name && at >= burst.at && at < burst.at + burst.duration)
        .reduce((factor, burst) => factor * burst.factor, 1);

const swingAt = (swing: Swing | undefined, at: Milliseconds): number =>
    swing === undefined ? 1 : 1 + swing.share * Math.sin(2 * Math.PI * at / swing.period);

const generateJob = (drawer: Sampler, load: QueueLoad, at: Milliseconds, id: string): LoadJob => {
    const accelerators = load.accelerators?.[drawer.below(load.accelerators.length)] ?? 0;
    const drawn = Array.from(
        { length: drawer.count(load.steps) },
        (_, index) => generateStep(drawer, load, index, accelerators),
    );
    const steps = drawn.map(({ step }) => step);
    const works = drawn.map(step => step.works);
    const sizes = drawn.map(({ step, works: tasks }) =>
        step.size.processorThousandths / 1_000 * tasks.reduce((sum, work) => sum + work, 0) / millisecondsPerSecond
    );
    return {
        at,
        load,
        isEntitled: true,
        definition: makeJob(id, steps, { queue: queueName(load.name) }),
        taskWork: works,
        failingTasks: drawn.map(({ failing }) => failing),
        coreSeconds: sizes.reduce((sum, size) => sum + size, 0),
        criticalPath: works.reduce((sum, tasks) => sum + Math.max(...tasks), 0),
        lifetime: load.lifetime && drawer.size(load.lifetime),
    };
};

const generateStep = (
    drawer: Sampler,
    load: QueueLoad,
    index: number,
    accelerators: number,
): {
    readonly step: StepDefinition;
    readonly works: readonly Milliseconds[];
    readonly failing: number | undefined;
} => {
    const taskCount = drawer.count(load.width);
    const mean = drawer.size(load.work);
    const works = Array.from({ length: taskCount }, () => mean * drawer.around(load.unevenness));
    const step = makeStep({
        taskCount,
        size: {
            processorThousandths: Math.round(drawer.size(load.processorThousandths)),
            memoryMebibytes: Math.round(drawer.size(load.memoryMebibytes)),
            accelerators,
        },
        estimate: Math.round(mean * drawer.factor(load.estimateError)),
        after: index === 0 ? [] : [index - 1],
        isGang: taskCount > 1 && drawer.happens(load.gangShare),
        savesProgress: drawer.happens(load.savesShare),
        isLasting: load.lifetime !== undefined,
    });
    return { step, works, failing: drawer.happens(load.failingShare) ? drawer.below(taskCount) : undefined };
};
