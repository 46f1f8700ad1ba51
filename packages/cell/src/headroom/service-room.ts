/**
 * Room of one service as urgent tasks can use it: workers' free room is counted by how many usual urgent tasks it holds, in
 * processors and in memory, as scattered bits hold none.
 */
import type { Milliseconds } from "@pebbledale/core";
import { freeResourcesOf, type ResourceAmounts, resourcesWithout } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { maxFreeShare, maxHeadroomShare, sizeAveragingTime } from "./constants.js";
import { PeakDemand } from "./peak-demand.js";
import type { DemandForecast } from "./types.js";

/** Some tasks together. */
interface Load {
    tasks: number;
    /** Thousandths of a processor. */
    processor: number;
    /** Mebibytes. */
    memory: number;
}

const noLoad = (): Load => ({ tasks: 0, processor: 0, memory: 0 });

/** See the module's comment. */
export class ServiceHeadroom {
    /** Whether gangs were seen in the service: room adds up for these otherwise. */
    hasGangs = false;
    readonly #forecast: DemandForecast = new PeakDemand();
    /** A usual urgent task; undefined before the first. */
    #typicalTask: ResourceAmounts | undefined;
    #sizeLearnedAt: Milliseconds = 0;
    #running = noLoad();
    #waiting = noLoad();
    /** Of those that wait, what found no room. */
    #unplacedProcessor = 0;
    #processor = 0;
    #freeProcessor = 0;
    /** How many usual urgent tasks the free room holds. */
    #fittingTasks = 0;

    /** Begins a pass. */
    beginCycle(): void {
        this.#running = noLoad();
        this.#waiting = noLoad();
        this.#unplacedProcessor = 0;
        this.#processor = 0;
        this.#freeProcessor = 0;
        this.#fittingTasks = 0;
    }

    /** Adds tasks of an urgent step that run. */
    addRunning(step: Step, count: number): void {
        add(this.#running, step, count);
    }

    /** Adds tasks of an urgent step that wait. */
    addWaiting(step: Step, count: number): void {
        add(this.#waiting, step, count);
    }

    /** Tasks of an urgent step found no room. */
    addUnplaced({ definition: { size } }: Step, count: number): void {
        this.#unplacedProcessor += count * size.processorThousandths;
    }

    /** How many usual urgent tasks found no room. */
    get unplacedTasks(): number {
        return this.#unplacedProcessor / Math.max(1, this.#typicalTask?.processor ?? 1);
    }

    /** Works the demand out, once all urgent tasks are added. */
    updateDemand(now: Milliseconds): void {
        this.#forecast.observe(this.#running.processor + this.#waiting.processor, now);
        this.#learnSize(now);
    }

    /** Adds a worker that may be ordered. */
    addWorker({ entry, freeProcessor }: WorkerState, fitting: number): void {
        this.#processor += entry?.capacity.processorThousandths ?? 0;
        this.#freeProcessor += Math.max(0, freeProcessor);
        this.#fittingTasks += fitting;
    }

    /** How many usual urgent tasks fit a worker's free room once `count` tasks of a step have theirs. */
    countTypicalAt(worker: WorkerState, step?: Step, count = 0): number {
        const free = freeResourcesOf(worker);
        return this.countTypicalIn(step === undefined ? free : resourcesWithout(free, step, count));
    }

    /** How many usual urgent tasks some room holds. */
    countTypicalIn({ processor, memory }: ResourceAmounts): number {
        const usual = this.#typicalTask;
        return usual === undefined
            ? 0
            : Math.max(
                0,
                Math.floor(Math.min(processor / Math.max(1, usual.processor), memory / Math.max(1, usual.memory))),
            );
    }

    /** Tasks of a step take their room at a worker. */
    notePlaced(worker: WorkerState, step: Step, count: number): void {
        const { fills, size } = step.definition;
        this.#fittingTasks -= this.countTypicalAt(worker) - this.countTypicalAt(worker, step, count);
        this.#freeProcessor -= fills ? 0 : count * size.processorThousandths;
    }

    /** Whether enough is left for urgent work once `count` tasks of a step have their room at a worker. */
    leavesHeadroom(worker: WorkerState, step: Step, count: number): boolean {
        const { fills, size } = step.definition;
        const freeProcessor = this.#freeProcessor - (fills ? 0 : count * size.processorThousandths);
        const lost = this.countTypicalAt(worker) - this.countTypicalAt(worker, step, count);
        return lost === 0
            || freeProcessor > this.#processor * maxFreeShare
            || this.#fittingTasks - lost >= this.keptTasks;
    }

    /** How many usual urgent tasks room is to be kept for. */
    get keptTasks(): number {
        const missing = Math.min(
            this.#forecast.expected - this.#running.processor,
            this.#processor * maxHeadroomShare,
        );
        return Math.max(0, Math.round(missing / Math.max(1, this.#typicalTask?.processor ?? 1)));
    }

    /** What is kept, in thousandths of a processor. */
    get keptProcessor(): number {
        return Math.round(this.keptTasks * (this.#typicalTask?.processor ?? 0));
    }

    /** What the decision was made from, for the log: thousandths of a processor, and how many usual urgent tasks fit. */
    get logFields(): Readonly<Record<string, number>> {
        return {
            atWork: this.#running.processor,
            waiting: this.#waiting.processor,
            shortProcessor: this.#unplacedProcessor,
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
