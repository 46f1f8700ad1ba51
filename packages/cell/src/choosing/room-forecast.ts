/** Free resources of workers, now and as expected later. */
import type { Milliseconds } from "@pebbledale/core";
import type { Step, TaskRun, WorkerState } from "../state/index.js";
import { stopTime } from "./constants.js";
import { expectedEnd } from "./expected-end.js";

/** A time from which a worker has the resources for one more task of a step. */
export interface Opening {
    readonly at: Milliseconds;
    readonly worker: WorkerState;
}

/** An amount of a worker's resources: thousandths of a processor, mebibytes of memory, accelerators. */
export interface Room {
    readonly processor: number;
    readonly memory: number;
    readonly accelerators: number;
}

/** The expected end of a run, at which its worker has the run's resources free again. */
interface Ending {
    readonly at: Milliseconds;
    readonly run: TaskRun;
}

/** Tells whether a run would be preempted rather than waited for. */
export type IsStopped = (run: TaskRun) => boolean;

/** Forecasts workers' free resources from the expected ends of their runs, which are computed once a cycle for each worker. */
export class RoomForecast {
    /** By worker, sorted by time. */
    readonly #endings = new Map<WorkerState, readonly Ending[]>();

    /** Drops the forecasts of the previous cycle. */
    clear(): void {
        this.#endings.clear();
    }

    /** Drops the forecast of a worker whose runs changed. */
    forget(worker: WorkerState): void {
        this.#endings.delete(worker);
    }

    /**
     * Times from which a worker can hold one, two and up to `count` tasks of a step. Runs for which `isStopped` holds are taken to end
     * after the time of a stop.
     */
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

    /** The resources that a worker will have free at a time if nothing is started there until then. */
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

/** Resources that a run holds. Filler tasks hold no processor. */
export const roomOfRun = ({ task: { step: { definition: { size, fills } } } }: TaskRun): Room => ({
    processor: fills ? 0 : size.processorThousandths,
    memory: size.memoryMebibytes,
    accelerators: size.accelerators,
});

/** Resources that a worker has free now. */
export const roomOf = ({ freeProcessor, freeMemory, freeAccelerators }: WorkerState): Room => ({
    processor: freeProcessor,
    memory: freeMemory,
    accelerators: freeAccelerators,
});

/** The sum of two amounts of resources. */
export const sumOf = (left: Room, right: Room): Room => ({
    processor: left.processor + right.processor,
    memory: left.memory + right.memory,
    accelerators: left.accelerators + right.accelerators,
});

/** What remains after `count` tasks of a step took their resources; negative where they did not fit. */
export const roomWithout = (room: Room, { definition: { size, fills } }: Step, count: number): Room => ({
    processor: room.processor - (fills ? 0 : count * size.processorThousandths),
    memory: room.memory - count * size.memoryMebibytes,
    accelerators: room.accelerators - count * size.accelerators,
});

/** How many tasks of a step fit an amount of resources. */
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
