/** Headroom of one service. */
import type { Milliseconds } from "@pebbledale/core";
import { freeResourcesOf, type ResourceAmounts, resourcesWithout } from "../selection/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { gangMemory, maxFreeShare, maxHeadroomShare, sizeAveragingTime } from "./constants.js";
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
export class ServiceHeadroom {
    #gangSeenAt = -Infinity;
    #hasGangs = false;
    readonly #forecast: DemandForecast = new PeakDemand();
    /** Moving average of urgent tasks' sizes; undefined before the first task. */
    #typicalTask: ResourceAmounts | undefined;
    #sizeLearnedAt: Milliseconds = 0;
    #running = noLoad();
    #waiting = noLoad();
    /** Processors of waiting tasks that could not be placed. */
    #unplacedProcessor = 0;
    #processor = 0;
    #freeProcessor = 0;
    /** How many typical urgent tasks fit the free capacity. */
    #fittingTasks = 0;

    /** Whether gangs were seen in the service lately. No headroom is kept there, as reservations free resources for gangs. */
    get hasGangs(): boolean {
        return this.#hasGangs;
    }

    /** Notes a gang that waits or runs. */
    noteGang(now: Milliseconds): void {
        this.#gangSeenAt = now;
        this.#hasGangs = true;
    }

    beginCycle(now: Milliseconds): void {
        this.#hasGangs = now - this.#gangSeenAt < gangMemory;
        this.#running = noLoad();
        this.#waiting = noLoad();
        this.#unplacedProcessor = 0;
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
    addUnplaced({ definition: { size } }: Step, count: number): void {
        this.#unplacedProcessor += count * size.processorThousandths;
    }

    /** Demand that could not be placed, in typical urgent tasks. */
    get unplacedTasks(): number {
        return this.#unplacedProcessor / Math.max(1, this.#typicalTask?.processor ?? 1);
    }

    /** Updates the forecast of demand. Called once all urgent tasks of a cycle are added. */
    updateDemand(now: Milliseconds): void {
        this.#forecast.observe(this.#running.processor + this.#waiting.processor, now);
        this.#learnSize(now);
    }

    /** Adds the capacity of a worker that accepts new runs. */
    addWorker({ entry, freeProcessor }: WorkerState, fitting: number): void {
        this.#processor += entry?.capacity.processorThousandths ?? 0;
        this.#freeProcessor += Math.max(0, freeProcessor);
        this.#fittingTasks += fitting;
    }

    /** How many typical urgent tasks fit a worker, after `count` tasks of a step were placed there. */
    countTypicalAt(worker: WorkerState, step?: Step, count = 0): number {
        const free = freeResourcesOf(worker);
        return this.countTypicalIn(step === undefined ? free : resourcesWithout(free, step, count));
    }

    /** How many typical urgent tasks fit an amount of resources. */
    countTypicalIn({ processor, memory }: ResourceAmounts): number {
        const typical = this.#typicalTask;
        return typical === undefined
            ? 0
            : Math.max(
                0,
                Math.floor(Math.min(processor / Math.max(1, typical.processor), memory / Math.max(1, typical.memory))),
            );
    }

    /** Accounts for tasks of a step that are about to be placed at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number): void {
        const { fills, size } = step.definition;
        this.#fittingTasks -= this.countTypicalAt(worker) - this.countTypicalAt(worker, step, count);
        this.#freeProcessor -= fills ? 0 : count * size.processorThousandths;
    }

    /** Whether the headroom is still free after placing `count` tasks of a step at a worker. */
    leavesHeadroom(worker: WorkerState, step: Step, count: number): boolean {
        const { fills, size } = step.definition;
        const freeProcessor = this.#freeProcessor - (fills ? 0 : count * size.processorThousandths);
        const lost = this.countTypicalAt(worker) - this.countTypicalAt(worker, step, count);
        return lost === 0
            || freeProcessor > this.#processor * maxFreeShare
            || this.#fittingTasks - lost >= this.headroomTasks;
    }

    /** Headroom to keep, in typical urgent tasks. */
    get headroomTasks(): number {
        const missing = Math.min(
            this.#forecast.expected - this.#running.processor,
            this.#processor * maxHeadroomShare,
        );
        return Math.max(0, Math.round(missing / Math.max(1, this.#typicalTask?.processor ?? 1)));
    }

    /** Headroom to keep, in thousandths of a processor. */
    get headroomProcessor(): number {
        return Math.round(this.headroomTasks * (this.#typicalTask?.processor ?? 0));
    }

    /** Figures behind the decision, for the log: thousandths of a processor and numbers of typical urgent tasks. */
    get logFields(): Readonly<Record<string, number>> {
        return {
            atWork: this.#running.processor,
            waiting: this.#waiting.processor,
            shortProcessor: this.#unplacedProcessor,
            expected: Math.round(this.#forecast.expected),
            keptTasks: this.headroomTasks,
            keptProcessor: this.headroomProcessor,
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
        const known = this.#typicalTask ?? { processor, memory, accelerators: 0 };
        const weight = 1 - Math.exp(-(now - this.#sizeLearnedAt) / sizeAveragingTime);
        this.#sizeLearnedAt = now;
        this.#typicalTask = {
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
