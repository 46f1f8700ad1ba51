/** Generates the jobs of a load pattern; the same seed gives the same jobs. */
import { type Milliseconds, organisationName, queueName, SeededRandom } from "@pebbledale/core";
import type { JobDefinition, StepDefinition } from "../../../src/index.js";
import { makeJob, makeStep } from "../builders.js";
import type { Burst, Distribution, LoadPattern, QueueLoad, Swing } from "./pattern.js";

/** A generated job, with properties that the scheduler does not know. */
export interface LoadJob {
    readonly at: Milliseconds;
    readonly load: QueueLoad;
    readonly definition: JobDefinition;
    /** Work of each task by step: its duration on a worker of full speed. */
    readonly taskWork: readonly (readonly Milliseconds[])[];
    /** By step, the task whose first run fails, if there is one. */
    readonly failingTasks: readonly (number | undefined)[];
    /** Whether it is within its organisation's entitlement: as many jobs in each second as the organisation's weight. */
    readonly isEntitled: boolean;
    /** Core-seconds of work of all its tasks. */
    readonly coreSeconds: number;
    /** Work of the longest chain of dependent steps. */
    readonly criticalPath: Milliseconds;
    /** Time after which its caller cancels it; undefined when its tasks end by themselves. */
    readonly lifetime: Milliseconds | undefined;
}

const millisecondsPerSecond = 1_000;
/** Interval for which arrivals are generated at a time. */
const arrivalInterval: Milliseconds = 10;

/** Random samples from one seeded generator. */
export class Sampler {
    constructor(private readonly random: SeededRandom) {}

    happens(chance: number): boolean {
        return this.random.next() < chance;
    }

    /** Integer from 0 to below `limit`. */
    below(limit: number): number {
        return Math.floor(this.random.next() * limit);
    }

    /** Factor that deviates from 1 by at most `share`. */
    around(share: number): number {
        return 1 + (this.random.next() * 2 - 1) * share;
    }

    /** Factor whose natural logarithm deviates from 0 by at most `error`. */
    factor(error: number): number {
        return Math.exp((this.random.next() * 2 - 1) * error);
    }

    /** Sample of a lognormal distribution. */
    sample({ mean, spread, max }: Distribution): number {
        const variance = Math.log(1 + spread * spread);
        const sample = Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance) * this.#normal());
        return Math.min(max, sample);
    }

    /** Sample rounded to an integer, at least 1. */
    count(distribution: Distribution): number {
        return Math.max(1, Math.round(this.sample(distribution)));
    }

    /** Sample of the standard normal distribution (Box-Muller transform). */
    #normal(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
        return radius * Math.cos(2 * Math.PI * this.random.next());
    }
}

/** Generates all jobs of a pattern, in order of arrival. */
export const generateJobs = (pattern: LoadPattern): LoadJob[] => {
    const jobs: LoadJob[] = [];
    for (const load of pattern.queues) {
        const sampler = new Sampler(new SeededRandom(pattern.seed + 7_919 * (1 + pattern.queues.indexOf(load))));
        for (let at = 0; at < pattern.duration; at += arrivalInterval) {
            const factor = factorAt(pattern.bursts, load, at) * swingAt(pattern.swing, at);
            const expected = load.perSecond * factor * arrivalInterval / millisecondsPerSecond;
            let left = expected;
            while (left > 0 && sampler.happens(Math.min(1, left))) {
                jobs.push(generateJob(sampler, load, at, `${load.name}${jobs.length}`));
                left -= 1;
            }
        }
    }
    const assigned = assignOrganisations(pattern, jobs.sort((left, right) => left.at - right.at));
    return pattern.excludesSurplus === true ? assigned.filter(({ isEntitled }) => isEntitled) : assigned;
};

/** Assigns jobs to organisations by weight, and the additional jobs of a burst to the organisation that causes it. */
const assignOrganisations = (
    { organisations = [], bursts, seed }: LoadPattern,
    jobs: readonly LoadJob[],
): LoadJob[] => {
    const sampler = new Sampler(new SeededRandom(seed + 104_729));
    const counts = new Map<string, number>();
    const weights = organisations.reduce((sum, { weight }) => sum + weight, 0);
    return jobs.map(job => {
        const burst = bursts.find(({ queue, organisation, at, duration }) =>
            organisation !== undefined && queue === job.load.name && job.at >= at && job.at < at + duration
        );
        const isOfBurst = burst !== undefined && sampler.happens(1 - 1 / burst.factor);
        let position = sampler.below(weights);
        const sampled = organisations.find(({ weight }) => (position -= weight) < 0)?.name;
        const name = isOfBurst ? burst.organisation : sampled;
        if (name === undefined) {
            return job;
        }
        const second = `${name} ${Math.floor(job.at / millisecondsPerSecond)}`;
        const count = (counts.get(second) ?? 0) + 1;
        counts.set(second, count);
        const isEntitled = count <= organisations.find(other => other.name === name)!.weight;
        return { ...job, isEntitled, definition: { ...job.definition, organisation: organisationName(name) } };
    });
};

const factorAt = (bursts: readonly Burst[], { name }: QueueLoad, at: Milliseconds): number =>
    bursts
        .filter(burst => burst.queue === name && at >= burst.at && at < burst.at + burst.duration)
        .reduce((factor, burst) => factor * burst.factor, 1);

const swingAt = (swing: Swing | undefined, at: Milliseconds): number =>
    swing === undefined ? 1 : 1 + swing.share * Math.sin(2 * Math.PI * at / swing.period);

const generateJob = (sampler: Sampler, load: QueueLoad, at: Milliseconds, id: string): LoadJob => {
    const accelerators = load.accelerators?.[sampler.below(load.accelerators.length)] ?? 0;
    const generated = Array.from(
        { length: sampler.count(load.steps) },
        (_, index) => generateStep(sampler, load, index, accelerators),
    );
    const steps = generated.map(({ step }) => step);
    const taskWork = generated.map(step => step.taskWork);
    const sizes = generated.map(({ step, taskWork: tasks }) =>
        step.size.processorThousandths / 1_000 * tasks.reduce((sum, work) => sum + work, 0) / millisecondsPerSecond
    );
    return {
        at,
        load,
        isEntitled: true,
        definition: makeJob(id, steps, { queue: queueName(load.name) }),
        taskWork,
        failingTasks: generated.map(({ failing }) => failing),
        coreSeconds: sizes.reduce((sum, size) => sum + size, 0),
        criticalPath: taskWork.reduce((sum, tasks) => sum + Math.max(...tasks), 0),
        lifetime: load.lifetime && sampler.sample(load.lifetime),
    };
};

const generateStep = (
    sampler: Sampler,
    load: QueueLoad,
    index: number,
    accelerators: number,
): {
    readonly step: StepDefinition;
    readonly taskWork: readonly Milliseconds[];
    readonly failing: number | undefined;
} => {
    const taskCount = sampler.count(load.width);
    const mean = sampler.sample(load.work);
    const taskWork = Array.from({ length: taskCount }, () => mean * sampler.around(load.unevenness));
    const step = makeStep({
        taskCount,
        size: {
            processorThousandths: Math.round(sampler.sample(load.processorThousandths)),
            memoryMebibytes: Math.round(sampler.sample(load.memoryMebibytes)),
            accelerators,
        },
        estimate: Math.round(mean * sampler.factor(load.estimateError)),
        after: index === 0 ? [] : [index - 1],
        isGang: taskCount > 1 && sampler.happens(load.gangShare),
        savesProgress: sampler.happens(load.savesShare),
        isLasting: load.lifetime !== undefined,
    });
    return { step, taskWork, failing: sampler.happens(load.failingShare) ? sampler.below(taskCount) : undefined };
};
