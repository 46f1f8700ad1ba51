/** Free resources of workers, now and as expected later. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { stopDuration } from "./constants.js";
import { expectedEnd } from "./expected-end.js";

/** A time from which a worker has the resources for one more task of a step. */
export interface StartSlot {
    readonly at: Milliseconds;
    readonly worker: WorkerState;
}

/** An amount of a worker's resources: thousandths of a processor, mebibytes of memory, accelerators. */
export interface ResourceAmounts {
    readonly processor: number;
    readonly memory: number;
    readonly accelerators: number;
}

/** The expected end of a run, at which its worker has the run's resources free again. */
interface ResourceRelease {
    readonly at: Milliseconds;
    readonly run: TaskRun;
}

/** Tells whether a run would be preempted rather than waited for. */
export type StopPredicate = (run: TaskRun) => boolean;

/** Forecasts workers' free resources from the expected ends of their runs, which are computed once a cycle for each worker. */
export class CapacityForecast {
    /** By worker, sorted by time. */
    readonly #releases = new Map<WorkerState, readonly ResourceRelease[]>();

    /** Drops the forecasts of the previous cycle. */
    clear(): void {
        this.#releases.clear();
    }

    /** Drops the forecast of a worker whose runs changed. */
    invalidate(worker: WorkerState): void {
        this.#releases.delete(worker);
    }

    /**
     * Times from which a worker can hold one, two and up to `count` tasks of a step. Runs for which `isStopped` holds are taken to end
     * after the time of a stop.
     */
    startSlotsOf(
        worker: WorkerState,
        step: Step,
        count: number,
        now: Milliseconds,
        isStopped?: StopPredicate,
    ): StartSlot[] {
        const slots: StartSlot[] = [];
        let resources = freeResourcesOf(worker);
        const add = (at: Milliseconds) => {
            const fitting = Math.min(count, countFittingIn(resources, step));
            while (slots.length < fitting) {
                slots.push({ at, worker });
            }
        };
        add(now);
        const releases = this.#releasesOf(worker, now);
        for (const { run, at } of isStopped === undefined ? releases : withStops(releases, isStopped, now)) {
            if (at === Infinity || slots.length >= count) {
                break;
            }
            resources = addAmounts(resources, resourcesOfRun(run));
            add(at);
        }
        return slots;
    }

    /** The resources that a worker will have free at a time if nothing is started there until then. */
    resourcesAt(worker: WorkerState, at: Milliseconds, now: Milliseconds): ResourceAmounts {
        return this.#releasesOf(worker, now)
            .filter(release => release.at <= at)
            .reduce<ResourceAmounts>((sum, { run }) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
    }

    #releasesOf(worker: WorkerState, now: Milliseconds): readonly ResourceRelease[] {
        let releases = this.#releases.get(worker);
        if (releases === undefined) {
            releases = [...worker.runs.values()]
                .map(run => ({ run, at: expectedEnd(run, now) }))
                .sort(byTime);
            this.#releases.set(worker, releases);
        }
        return releases;
    }
}

const byTime = (left: ResourceRelease, right: ResourceRelease): number => left.at - right.at;

const withStops = (
    releases: readonly ResourceRelease[],
    isStopped: StopPredicate,
    now: Milliseconds,
): readonly ResourceRelease[] =>
    releases
        .map(({ run, at }) => ({ run, at: at > now + stopDuration && isStopped(run) ? now + stopDuration : at }))
        .sort(byTime);

/** Resources that a run holds. Filler tasks hold no processor. */
export const resourcesOfRun = ({ task: { step: { definition: { size, fills } } } }: TaskRun): ResourceAmounts => ({
    processor: fills ? 0 : size.processorThousandths,
    memory: size.memoryMebibytes,
    accelerators: size.accelerators,
});

/** Resources that a worker has free now. */
export const freeResourcesOf = ({ freeProcessor, freeMemory, freeAccelerators }: WorkerState): ResourceAmounts => ({
    processor: freeProcessor,
    memory: freeMemory,
    accelerators: freeAccelerators,
});

/** The sum of two amounts of resources. */
export const addAmounts = (left: ResourceAmounts, right: ResourceAmounts): ResourceAmounts => ({
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators,
});

/** What remains after `count` tasks of a step took their resources; negative where they did not fit. */
export const resourcesWithout = (
    resources: ResourceAmounts,
    { definition: { size, fills } }: Step,
    count: number,
): ResourceAmounts => ({
    processor: resources.processor - (fills ? 0 : count * size.processorThousandths),
    memory: resources.memory - count * size.memoryMebibytes,
    accelerators: resources.accelerators - count * size.accelerators,
});

/** How many tasks of a step fit an amount of resources. */
export const countFittingIn = (
    { processor, memory, accelerators }: ResourceAmounts,
    { definition: { size, fills } }: Step,
): number =>
    Math.max(
        0,
        Math.min(
            fills ? Infinity : countOf(processor, size.processorThousandths),
            countOf(memory, size.memoryMebibytes),
            countOf(accelerators, size.accelerators),
        ),
    );

const countOf = (free: number, wanted: number): number => wanted === 0 ? Infinity : Math.floor(free / wanted);
