/** Headroom of one service. */
import type { Milliseconds } from "@pebbledale/core";
import { type Room, roomOf, roomWithout } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { mostFreeShare, mostKeptShare, sizeMemory } from "./constants.js";
import { PeakDemand } from "./peak-demand.js";
import type { DemandForecast } from "./types.js";

/** Sums over some tasks. */
interface Load {
    tasks: number;
    /** Thousandths of a processor. */
    processor: number;
    /** Mebibytes. */
    memory: number;
}

const noLoad = (): Load => ({ tasks: 0, processor: 0, memory: 0 });

/**
 * The free capacity and the urgent demand of one service.
 *
 * Free capacity is counted worker by worker in typical urgent tasks, by processors and memory, as fragments that hold no task are of no
 * use.
 */
export class ServiceRoom {
    /** Whether gangs were seen in the service. No headroom is kept there, as reservations free resources for gangs. */
    hasGangs = false;
    readonly #forecast: DemandForecast = new PeakDemand();
    /** Moving average of urgent tasks' sizes; undefined before the first task. */
    #usual: Room | undefined;
    #sizedAt: Milliseconds = 0;
    #running = noLoad();
    #waiting = noLoad();
    /** Processors of waiting tasks that could not be placed. */
    #shortProcessor = 0;
    #processor = 0;
    #freeProcessor = 0;
    /** How many typical urgent tasks fit the free capacity. */
    #fittingTasks = 0;

    begin(): void {
        this.#running = noLoad();
        this.#waiting = noLoad();
        this.#shortProcessor = 0;
        this.#processor = 0;
        this.#freeProcessor = 0;
        this.#fittingTasks = 0;
    }

    /** Adds running tasks of an urgent step to the demand. */
    addRunning(step: Step, count: number): void {
        add(this.#running, step, count);
    }

    /** Adds waiting tasks of an urgent step to the demand. */
    addWaiting(step: Step, count: number): void {
        add(this.#waiting, step, count);
    }

    /** Adds tasks of an urgent step that could not be placed. */
    addShort({ definition: { size } }: Step, count: number): void {
        this.#shortProcessor += count * size.processorThousandths;
    }

    /** Demand that could not be placed, in typical urgent tasks. */
    get shortTasks(): number {
        return this.#shortProcessor / Math.max(1, this.#usual?.processor ?? 1);
    }

    /** Updates the forecast of demand. Called once all urgent tasks of a cycle are added. */
    settleDemand(now: Milliseconds): void {
        this.#forecast.note(this.#running.processor + this.#waiting.processor, now);
        this.#learnSize(now);
    }

    /** Adds the capacity of a worker that accepts new runs. */
    addWorker({ entry, freeProcessor }: WorkerState, fitting: number): void {
        this.#processor += entry?.capacity.processorThousandths ?? 0;
        this.#freeProcessor += Math.max(0, freeProcessor);
        this.#fittingTasks += fitting;
    }

    /** How many typical urgent tasks fit a worker, after `count` tasks of a step were placed there. */
    fittingAt(worker: WorkerState, step?: Step, count = 0): number {
        const free = roomOf(worker);
        return this.countUsual(step === undefined ? free : roomWithout(free, step, count));
    }

    /** How many typical urgent tasks fit an amount of resources. */
    countUsual({ processor, memory }: Room): number {
        const usual = this.#usual;
        return usual === undefined
            ? 0
            : Math.max(
                0,
                Math.floor(Math.min(processor / Math.max(1, usual.processor), memory / Math.max(1, usual.memory))),
            );
    }

    /** Accounts for tasks of a step that are about to be placed at a worker. */
    take(worker: WorkerState, step: Step, count: number): void {
        const { fills, size } = step.definition;
        this.#fittingTasks -= this.fittingAt(worker) - this.fittingAt(worker, step, count);
        this.#freeProcessor -= fills ? 0 : count * size.processorThousandths;
    }

    /** Whether the headroom is still free after placing `count` tasks of a step at a worker. */
    leavesEnough(worker: WorkerState, step: Step, count: number): boolean {
        const { fills, size } = step.definition;
        const freeProcessor = this.#freeProcessor - (fills ? 0 : count * size.processorThousandths);
        const lost = this.fittingAt(worker) - this.fittingAt(worker, step, count);
        return lost === 0
            || freeProcessor > this.#processor * mostFreeShare
            || this.#fittingTasks - lost >= this.keptTasks;
    }

    /** Headroom to keep, in typical urgent tasks. */
    get keptTasks(): number {
        const missing = Math.min(
            this.#forecast.expected - this.#running.processor,
            this.#processor * mostKeptShare,
        );
        return Math.max(0, Math.round(missing / Math.max(1, this.#usual?.processor ?? 1)));
    }

    /** Headroom to keep, in thousandths of a processor. */
    get keptProcessor(): number {
        return Math.round(this.keptTasks * (this.#usual?.processor ?? 0));
    }

    /** Figures behind the decision, for the log: thousandths of a processor and numbers of typical urgent tasks. */
    get figures(): Readonly<Record<string, number>> {
        return {
            atWork: this.#running.processor,
            waiting: this.#waiting.processor,
            shortProcessor: this.#shortProcessor,
            expected: Math.round(this.#forecast.expected),
            keptTasks: this.keptTasks,
            keptProcessor: this.keptProcessor,
            fittingTasks: this.#fittingTasks,
        };
    }

    #learnSize(now: Milliseconds): void {
        const tasks = this.#running.tasks + this.#waiting.tasks;
        if (tasks === 0) {
            return;
        }
        const processor = (this.#running.processor + this.#waiting.processor) / tasks;
        const memory = (this.#running.memory + this.#waiting.memory) / tasks;
        const known = this.#usual ?? { processor, memory, accelerators: 0 };
        const weight = 1 - Math.exp(-(now - this.#sizedAt) / sizeMemory);
        this.#sizedAt = now;
        this.#usual = {
            processor: known.processor + (processor - known.processor) * weight,
            memory: known.memory + (memory - known.memory) * weight,
            accelerators: 0,
        };
    }
}

const add = (load: Load, { definition: { size } }: Step, count: number): void => {
    load.tasks += count;
    load.processor += count * size.processorThousandths;
    load.memory += count * size.memoryMebibytes;
};
