/**
 * Room of one service as urgent tasks can use it: workers' free room is counted by how many usual urgent tasks it holds, in
 * processors and in memory, as scattered bits hold none.
 */
import type { Milliseconds } from "@pebbledale/core";
import { type Room, roomOf, roomWithout } from "../choosing/index.js";
import type { Step, WorkerState } from "../state/index.js";
import { mostFreeShare, mostKeptShare, sizeMemory } from "./constants.js";
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
export class ServiceRoom {
    /** Whether gangs were seen in the service: room adds up for these otherwise. */
    hasGangs = false;
    readonly #forecast: DemandForecast = new PeakDemand();
    /** A usual urgent task; undefined before the first. */
    #usual: Room | undefined;
    #sizedAt: Milliseconds = 0;
    #running = noLoad();
    #waiting = noLoad();
    /** Of those that wait, what found no room. */
    #shortProcessor = 0;
    #processor = 0;
    #freeProcessor = 0;
    /** How many usual urgent tasks the free room holds. */
    #fittingTasks = 0;

    /** Begins a pass. */
    begin(): void {
        this.#running = noLoad();
        this.#waiting = noLoad();
        this.#shortProcessor = 0;
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
    addShort({ definition: { size } }: Step, count: number): void {
        this.#shortProcessor += count * size.processorThousandths;
    }

    /** How many usual urgent tasks found no room. */
    get shortTasks(): number {
        return this.#shortProcessor / Math.max(1, this.#usual?.processor ?? 1);
    }

    /** Works the demand out, once all urgent tasks are added. */
    settleDemand(now: Milliseconds): void {
        this.#forecast.note(this.#running.processor + this.#waiting.processor, now);
        this.#learnSize(now);
    }

    /** Adds a worker that may be ordered. */
    addWorker({ entry, freeProcessor }: WorkerState, fitting: number): void {
        this.#processor += entry?.capacity.processorThousandths ?? 0;
        this.#freeProcessor += Math.max(0, freeProcessor);
        this.#fittingTasks += fitting;
    }

    /** How many usual urgent tasks fit a worker's free room once `count` tasks of a step have theirs. */
    fittingAt(worker: WorkerState, step?: Step, count = 0): number {
        const free = roomOf(worker);
        return this.countUsual(step === undefined ? free : roomWithout(free, step, count));
    }

    /** How many usual urgent tasks some room holds. */
    countUsual({ processor, memory }: Room): number {
        const usual = this.#usual;
        return usual === undefined
            ? 0
            : Math.max(
                0,
                Math.floor(Math.min(processor / Math.max(1, usual.processor), memory / Math.max(1, usual.memory))),
            );
    }

    /** Tasks of a step take their room at a worker. */
    take(worker: WorkerState, step: Step, count: number): void {
        const { fills, size } = step.definition;
        this.#fittingTasks -= this.fittingAt(worker) - this.fittingAt(worker, step, count);
        this.#freeProcessor -= fills ? 0 : count * size.processorThousandths;
    }

    /** Whether enough is left for urgent work once `count` tasks of a step have their room at a worker. */
    leavesEnough(worker: WorkerState, step: Step, count: number): boolean {
        const { fills, size } = step.definition;
        const freeProcessor = this.#freeProcessor - (fills ? 0 : count * size.processorThousandths);
        const lost = this.fittingAt(worker) - this.fittingAt(worker, step, count);
        return lost === 0
            || freeProcessor > this.#processor * mostFreeShare
            || this.#fittingTasks - lost >= this.keptTasks;
    }

    /** How many usual urgent tasks room is to be kept for. */
    get keptTasks(): number {
        const missing = Math.min(
            this.#forecast.expected - this.#running.processor,
            this.#processor * mostKeptShare,
        );
        return Math.max(0, Math.round(missing / Math.max(1, this.#usual?.processor ?? 1)));
    }

    /** What is kept, in thousandths of a processor. */
    get keptProcessor(): number {
        return Math.round(this.keptTasks * (this.#usual?.processor ?? 0));
    }

    /** What the decision was made from, for the log: thousandths of a processor, and how many usual urgent tasks fit. */
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
