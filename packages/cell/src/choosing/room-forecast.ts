/** When workers will have room, from when the runs there are expected to end. Worked out once a pass for each worker. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { stopDuration } from "./constants.js";
import { expectedEnd } from "./expected-end.js";

/** A time from which one more task of a step fits a worker. */
export interface StartSlot {
    readonly at: Milliseconds;
    readonly worker: WorkerState;
}

/** Room of a worker at some time. */
export interface ResourceAmounts {
    readonly processor: number;
    readonly memory: number;
    readonly accelerators: number;
}

/** What a worker has free again when a run there ends. */
interface ResourceRelease {
    readonly at: Milliseconds;
    readonly run: TaskRun;
}

/** Whether a run is to be stopped in time rather than waited for. */
export type StopPredicate = (run: TaskRun) => boolean;

/** See the module's comment. */
export class CapacityForecast {
    /** By worker, the first to end first. */
    readonly #releases = new Map<WorkerState, readonly ResourceRelease[]>();

    /** Begins a pass. */
    clear(): void {
        this.#releases.clear();
    }

    /** The runs of a worker changed. */
    invalidate(worker: WorkerState): void {
        this.#releases.delete(worker);
    }

    /** Times from which up to `count` tasks of a step fit a worker, one after the other; runs that are stopped end soon. */
    startSlotsOf(
        worker: WorkerState,
        step: Step,
        count: number,
        now: Milliseconds,
        isStopped?: StopPredicate,
    ): StartSlot[] {
        const openings: StartSlot[] = [];
        let room = freeResourcesOf(worker);
        const add = (at: Milliseconds) => {
            const fitting = Math.min(count, countFittingIn(room, step));
            while (openings.length < fitting) {
                openings.push({ at, worker });
            }
        };
        add(now);
        const endings = this.#releasesOf(worker, now);
        for (const { run, at } of isStopped === undefined ? endings : withStops(endings, isStopped, now)) {
            if (at === Infinity || openings.length >= count) {
                break;
            }
            room = addAmounts(room, resourcesOfRun(run));
            add(at);
        }
        return openings;
    }

    /** What a worker is expected to have free at a time, were nothing started there until then. */
    resourcesAt(worker: WorkerState, at: Milliseconds, now: Milliseconds): ResourceAmounts {
        return this.#releasesOf(worker, now)
            .filter(ending => ending.at <= at)
            .reduce<ResourceAmounts>((sum, { run }) => addAmounts(sum, resourcesOfRun(run)), freeResourcesOf(worker));
    }

    #releasesOf(worker: WorkerState, now: Milliseconds): readonly ResourceRelease[] {
        let endings = this.#releases.get(worker);
        if (endings === undefined) {
            endings = [...worker.runs.values()]
                .map(run => ({ run, at: expectedEnd(run, now) }))
                .sort(byTime);
            this.#releases.set(worker, endings);
        }
        return endings;
    }
}

const byTime = (left: ResourceRelease, right: ResourceRelease): number => left.at - right.at;

const withStops = (
    endings: readonly ResourceRelease[],
    isStopped: StopPredicate,
    now: Milliseconds,
): readonly ResourceRelease[] =>
    endings
        .map(({ run, at }) => ({ run, at: at > now + stopDuration && isStopped(run) ? now + stopDuration : at }))
        .sort(byTime);

/** What a run holds of its worker. */
export const resourcesOfRun = ({ task: { step: { definition: { size, fills } } } }: TaskRun): ResourceAmounts => ({
    processor: fills ? 0 : size.processorThousandths,
    memory: size.memoryMebibytes,
    accelerators: size.accelerators,
});

/** What a worker has free now. */
export const freeResourcesOf = ({ freeProcessor, freeMemory, freeAccelerators }: WorkerState): ResourceAmounts => ({
    processor: freeProcessor,
    memory: freeMemory,
    accelerators: freeAccelerators,
});

/** Two rooms together. */
export const addAmounts = (left: ResourceAmounts, right: ResourceAmounts): ResourceAmounts => ({
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators,
});

/** What is left of some room once `count` tasks of a step have theirs. */
export const resourcesWithout = (
    room: ResourceAmounts,
    { definition: { size, fills } }: Step,
    count: number,
): ResourceAmounts => ({
    processor: room.processor - (fills ? 0 : count * size.processorThousandths),
    memory: room.memory - count * size.memoryMebibytes,
    accelerators: room.accelerators - count * size.accelerators,
});

/** How many tasks of a step some room holds. */
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
