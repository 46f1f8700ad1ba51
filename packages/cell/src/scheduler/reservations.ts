/**
 * Keeps room for what is wide and does not fit yet, and lets others use it meanwhile.
 *
 * For a gang the earliest time is worked out at which workers that it may run on will have room for all of it, from when
 * the runs there are expected to end. Until then those workers take only what will have ended by that time, or what
 * leaves enough room at that time.
 */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext } from "./cell-context.js";
import type { Step, TaskRun } from "./entities.js";
import { backfillMargin, expectedEnd } from "./expected-end.js";
import { isEligible } from "./worker-choice.js";
import type { WorkerState } from "./worker-state.js";

/** Room of one worker that is kept. */
interface Reservation {
    readonly step: Step;
    /** When the kept room is expected to be needed, by the owner's monotonic clock. */
    readonly from: Milliseconds;
    /** What is expected to be free then besides what is kept. */
    spareProcessor: number;
    spareMemory: number;
}

/** Where and when a step is expected to fit. */
export interface RoomPlan {
    readonly from: Milliseconds;
    readonly workers: readonly WorkerState[];
}

/** A time from which one more task of a step fits a worker. */
interface Opening {
    readonly at: Milliseconds;
    readonly worker: WorkerState;
}

/** What a worker has free again when a run there ends. */
interface Ending {
    readonly at: Milliseconds;
    readonly processor: number;
    readonly memory: number;
}

/** Most steps that room is kept for at once, for each this many workers one. */
const workersPerReservation = 12;
/** Fewest steps that room may be kept for at once. */
const fewestReservations = 2;
/** Most steps for which room is looked for in a pass, for each that room is kept for: looking costs the most of a pass. */
const attemptsPerReservation = 2;

/** See the module's comment. */
export class Reservations {
    readonly #kept = new Map<WorkerState, Reservation>();
    /** By worker, the room that its runs give back, the first to end first; as of this pass. */
    readonly #endings = new Map<WorkerState, readonly Ending[]>();
    #steps = 0;
    #attempts = 0;

    constructor(private readonly context: CellContext) {}

    /** Begins a pass: nothing is kept. */
    clear(): void {
        this.#kept.clear();
        this.#endings.clear();
        this.#steps = 0;
        this.#attempts = 0;
    }

    /** Keeps room for `count` tasks of a step where they will fit first; undefined when they nowhere will. */
    keep(step: Step, count: number, now: Milliseconds): RoomPlan | undefined {
        const most = Math.max(fewestReservations, Math.floor(this.context.workers.size / workersPerReservation));
        if (this.#steps >= most || this.#attempts >= most * attemptsPerReservation) {
            return undefined;
        }
        this.#attempts++;
        const openings = this.#openings(step, count, now);
        if (openings.length < count) {
            return undefined;
        }
        this.#steps++;
        const chosen = openings.slice(0, count);
        const from = chosen[count - 1].at;
        const perWorker = new Map<WorkerState, number>();
        chosen.forEach(({ worker }) => perWorker.set(worker, (perWorker.get(worker) ?? 0) + 1));
        perWorker.forEach((tasks, worker) => this.#reserve(worker, step, tasks, from, now));
        return { from, workers: [...perWorker.keys()] };
    }

    /** How many tasks of a step a worker takes at most, so that what is kept there stays kept. */
    limitFor(worker: WorkerState, step: Step, now: Milliseconds): number {
        const kept = this.#kept.get(worker);
        if (kept === undefined || kept.step === step || endsBefore(step, kept, now)) {
            return Infinity;
        }
        const { size, fills } = step.definition;
        const byProcessor = fills || size.processorThousandths === 0
            ? Infinity
            : Math.floor(kept.spareProcessor / size.processorThousandths);
        const byMemory = size.memoryMebibytes === 0 ? Infinity : Math.floor(kept.spareMemory / size.memoryMebibytes);
        return Math.max(0, Math.min(byProcessor, byMemory));
    }

    /** Tasks of a step were placed at a worker. */
    take(worker: WorkerState, step: Step, count: number, now: Milliseconds): void {
        this.#endings.delete(worker);
        const kept = this.#kept.get(worker);
        if (kept === undefined || kept.step === step || endsBefore(step, kept, now)) {
            return;
        }
        const { size, fills } = step.definition;
        kept.spareProcessor -= fills ? 0 : count * size.processorThousandths;
        kept.spareMemory -= count * size.memoryMebibytes;
    }

    /** Times at which single tasks of a step will fit, the earliest first. */
    #openings(step: Step, count: number, now: Milliseconds): Opening[] {
        const { terms } = step.job;
        const openings: Opening[] = [];
        for (const worker of this.context.workers.values()) {
            const isPermitted = step.permits === undefined || step.permits.isPermitted(worker.id);
            if (isPermitted && !this.#kept.has(worker) && isEligible(worker, step, terms.service, now)) {
                this.#addOpenings(worker, step, count, now, openings);
            }
        }
        return openings.sort((left, right) => left.at - right.at);
    }

    #addOpenings(worker: WorkerState, step: Step, count: number, now: Milliseconds, openings: Opening[]): void {
        const { size } = step.definition;
        let processor = worker.freeProcessor;
        let memory = worker.freeMemory;
        let fitting = 0;
        const add = (at: Milliseconds) => {
            const fits = Math.min(
                size.processorThousandths === 0 ? count : Math.floor(processor / size.processorThousandths),
                size.memoryMebibytes === 0 ? count : Math.floor(memory / size.memoryMebibytes),
                count,
            );
            for (; fitting < fits; fitting++) {
                openings.push({ at, worker });
            }
        };
        add(now);
        for (const ending of this.#endingsOf(worker, now)) {
            if (ending.at === Infinity || fitting >= count) {
                return;
            }
            processor += ending.processor;
            memory += ending.memory;
            add(ending.at);
        }
    }

    #endingsOf(worker: WorkerState, now: Milliseconds): readonly Ending[] {
        let endings = this.#endings.get(worker);
        if (endings === undefined) {
            endings = [...worker.runs.values()]
                .map(run => endingOf(run, now))
                .sort((left, right) => left.at - right.at);
            this.#endings.set(worker, endings);
        }
        return endings;
    }

    #reserve(worker: WorkerState, step: Step, tasks: number, from: Milliseconds, now: Milliseconds): void {
        const { size } = step.definition;
        let processor = worker.freeProcessor - tasks * size.processorThousandths;
        let memory = worker.freeMemory - tasks * size.memoryMebibytes;
        for (const ending of this.#endingsOf(worker, now)) {
            if (ending.at <= from) {
                processor += ending.processor;
                memory += ending.memory;
            }
        }
        this.#kept.set(worker, { step, from, spareProcessor: processor, spareMemory: memory });
    }
}

const endingOf = (run: TaskRun, now: Milliseconds): Ending => {
    const { size, fills } = run.task.step.definition;
    return {
        at: expectedEnd(run, now),
        processor: fills ? 0 : size.processorThousandths,
        memory: size.memoryMebibytes,
    };
};

/** Whether tasks of a step that start now will have ended when the kept room is needed. */
const endsBefore = ({ definition }: Step, { from }: Reservation, now: Milliseconds): boolean =>
    !definition.isLasting && now + definition.estimate * backfillMargin <= from;
