/** Gathers what the inputs of one turn lead to: records to keep, orders to send, questions to ask. */
import type { JobId, RunNumber, TaskAddress, WorkerId } from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { CellRecord } from "./records.js";
import type { WorkerState } from "./worker-state.js";

/** Starts a run at a worker. */
export interface StartCommand {
    readonly kind: "start";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    readonly payload: string;
    readonly checkpoint: string;
    readonly ticket?: string;
}

/** Stops a run at a worker. */
export interface StopCommand {
    readonly kind: "stop";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** Lets a run work at a share of its speed. */
export interface PaceCommand {
    readonly kind: "pace";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** From 0 to 100. */
    readonly percent: number;
}

/** An order to a worker. */
export type WorkerCommand = StartCommand | StopCommand | PaceCommand;

/** A question to the advice service, or a part of one: it may be put in parts to several VMs at once. */
export interface AdviceRequest {
    /** Address of the step. */
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** Lower is asked first. */
    readonly urgency: number;
    /** What calls take at the service. */
    readonly policy: AdvicePolicy;
}

/** What one turn led to. */
export interface TurnOutput {
    readonly records: readonly CellRecord[];
    /** Stops and paces are sent at once, starts once the records are kept. */
    readonly commands: readonly WorkerCommand[];
    readonly questions: readonly AdviceRequest[];
    /** Once the records are kept: ends that a life of a worker may forget, by life the highest number. */
    readonly acknowledgements: ReadonlyMap<WorkerState, number>;
    /** Jobs whose state may have changed. */
    readonly changedJobs: ReadonlySet<JobId>;
}

/** See the module's comment. */
export class Outbox {
    #records: CellRecord[] = [];
    #commands: WorkerCommand[] = [];
    #questions: AdviceRequest[] = [];
    #acknowledgements = new Map<WorkerState, number>();
    #changedJobs = new Set<JobId>();

    /** Whether anything was gathered. */
    get isEmpty(): boolean {
        return this.#records.length + this.#commands.length + this.#questions.length + this.#acknowledgements.size
                + this.#changedJobs.size === 0;
    }

    /** Adds a record. */
    record(record: CellRecord): void {
        this.#records.push(record);
    }

    /** Adds an order to a worker. */
    command(command: WorkerCommand): void {
        this.#commands.push(command);
    }

    /** Adds a question to the advice service. */
    ask(question: AdviceRequest): void {
        this.#questions.push(question);
    }

    /** Lets a life of a worker forget its ends up to `through` once the records so far are kept. */
    acknowledge(worker: WorkerState, through: number): void {
        this.#acknowledgements.set(worker, Math.max(through, this.#acknowledgements.get(worker) ?? 0));
    }

    /** Notes that a job's state may have changed. */
    markJobChanged(job: JobId): void {
        this.#changedJobs.add(job);
    }

    /** Takes out what was gathered. */
    drain(): TurnOutput {
        const output: TurnOutput = {
            records: this.#records,
            commands: this.#commands,
            questions: this.#questions,
            acknowledgements: this.#acknowledgements,
            changedJobs: this.#changedJobs,
        };
        this.#records = [];
        this.#commands = [];
        this.#questions = [];
        this.#acknowledgements = new Map();
        this.#changedJobs = new Set();
        return output;
    }
}
