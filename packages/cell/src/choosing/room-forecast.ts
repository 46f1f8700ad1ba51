/** When workers will have room, from when the runs there are expected to end. Worked out once a pass for each worker. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { stopTime } from "./constants.js";
import { expectedEnd } from "./expected-end.js";

/** A time from which one more task of a step fits a worker. */
export interface Opening {
    readonly at: Milliseconds;
    readonly worker: WorkerState;
}

/** Room of a worker at some time. */
export interface Room {
    readonly processor: number;
    readonly memory: number;
    readonly accelerators: number;
}

/** What a worker has free again when a run there ends. */
interface Ending {
    readonly at: Milliseconds;
    readonly run: TaskRun;
}

/** Whether a run is to be stopped in time rather than waited for. */
export type IsStopped = (run: TaskRun) => boolean;

/** See the module's comment. */
export class RoomForecast {
    /** By worker, the first to end first. */
    readonly #endings = new Map<WorkerState, readonly Ending[]>();

    /** Begins a pass. */
    clear(): void {
        this.#endings.clear();
    }

    /** The runs of a worker changed. */
    forget(worker: WorkerState): void {
        this.#endings.delete(worker);
    }

    /** Times from which up to `count` tasks of a step fit a worker, one after the other; runs that are stopped end soon. */
    openingsOf(worker: WorkerState, step: Step, count: number, now: Milliseconds, isStopped?: IsStopped): Opening[] {
        const openings: Opening[] = [];
        let room = roomOf(worker);
        const add = (at: Milliseconds) => {
            const fitting = Math.min(count, countIn(room, step));
            while (openings.length < fitting) {
                openings.push({ at, worker });
            }
        };
        add(now);
        const endings = this.#endingsOf(worker, now);
        for (const { run, at } of isStopped === undefined ? endings : withStops(endings, isStopped, now)) {
            if (at === Infinity || openings.length >= count) {
                break;
            }
            room = sumOf(room, roomOfRun(run));
            add(at);
        }
        return openings;
    }

    /** What a worker is expected to have free at a time, were nothing started there until then. */
    roomAt(worker: WorkerState, at: Milliseconds, now: Milliseconds): Room {
        return this.#endingsOf(worker, now)
            .filter(ending => ending.at <= at)
            .reduce<Room>((sum, { run }) => sumOf(sum, roomOfRun(run)), roomOf(worker));
    }

    #endingsOf(worker: WorkerState, now: Milliseconds): readonly Ending[] {
        let endings = this.#endings.get(worker);
        if (endings === undefined) {
            endings = [...worker.runs.values()]
                .map(run => ({ run, at: expectedEnd(run, now) }))
                .sort(byTime);
            this.#endings.set(worker, endings);
        }
        return endings;
    }
}

const byTime = (left: Ending, right: Ending): number => left.at - right.at;

const withStops = (endings: readonly Ending[], isStopped: IsStopped, now: Milliseconds): readonly Ending[] =>
    endings
        .map(({ run, at }) => ({ run, at: at > now + stopTime && isStopped(run) ? now + stopTime : at }))
        .sort(byTime);

/** What a run holds of its worker. */
export const roomOfRun = ({ task: { step: { definition: { size, fills } } } }: TaskRun): Room => ({
    processor: fills ? 0 : size.processorThousandths,
    memory: size.memoryMebibytes,
    accelerators: size.accelerators,
});

/** What a worker has free now. */
export const roomOf = ({ freeProcessor, freeMemory, freeAccelerators }: WorkerState): Room => ({
    processor: freeProcessor,
    memory: freeMemory,
    accelerators: freeAccelerators,
});

/** Two rooms together. */
export const sumOf = (left: Room, right: Room): Room => ({
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators,
});

/** What is left of some room once `count` tasks of a step have theirs. */
export const roomWithout = (room: Room, { definition: { size, fills } }: Step, count: number): Room => ({
    processor: room.processor - (fills ? 0 : count * size.processorThousandths),
    memory: room.memory - count * size.memoryMebibytes,
    accelerators: room.accelerators - count * size.accelerators,
});

/** How many tasks of a step some room holds. */
export const countIn = ({ processor, memory, accelerators }: Room, { definition: { size, fills } }: Step): number =>
    Math.max(
        0,
        Math.min(
            fills ? Infinity : countOf(processor, size.processorThousandths),
            countOf(memory, size.memoryMebibytes),
            countOf(accelerators, size.accelerators),
        ),
    );

const countOf = (free: number, wanted: number): number => wanted === 0 ? Infinity : Math.floor(free / wanted);
