/** Output of the cell's decisions: records for the journal, orders to workers, questions to the advice service. */
import type { DataHallName, JobId, RunNumber, TaskAddress, WorkerId } from "@pebbledale/core";
import type { AdvicePolicy } from "../advice/index.js";
import type { CellJobState } from "./definition.js";
import type { Job } from "./entities.js";
import type { CellRecord } from "./records.js";
import type { WorkerState } from "./worker-state.js";

/** Orders a worker to start a run. Sent to entry VMs, as are the other commands. */
export interface StartCommand {
    readonly kind: "start";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Data hall of the worker, by which the VM with its link checks the order against the closures that it knows. */
    readonly dataHall?: DataHallName;
    readonly payload: string;
    readonly checkpoint: string;
    readonly ticket?: string;
}

/** Orders a worker to stop a run. */
export interface StopCommand {
    readonly kind: "stop";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
}

/** Throttles a run, or lifts the throttle. */
export interface PaceCommand {
    readonly kind: "pace";
    readonly worker: WorkerId;
    readonly task: TaskAddress;
    readonly run: RunNumber;
    /** Share of full speed, from 0 to 100. */
    readonly percent: number;
}

/** An order that an entry VM passes to a worker. */
export type WorkerCommand = StartCommand | StopCommand | PaceCommand;

/** A question to the advice service about a step. It may be split into parts that several VMs ask in parallel. */
export interface AdviceRequest {
    readonly step: string;
    readonly workers: readonly WorkerId[];
    /** Questions with lower values are asked first. */
    readonly urgency: number;
    /** Policy of the step's queue, from which the duration of the call is estimated. */
    readonly policy: AdvicePolicy;
}

/** Everything that the inputs processed in one turn produced. */
export interface TurnOutput {
    readonly records: readonly CellRecord[];
    /** Stop and pace commands are sent immediately, start commands after the records are committed. */
    readonly commands: readonly WorkerCommand[];
    readonly questions: readonly AdviceRequest[];
    /** Highest number of the ends that each worker incarnation may forget, once the records are committed. */
    readonly acknowledgements: ReadonlyMap<WorkerState, number>;
    /** States of the changed jobs at the end of the turn. They are reported to callers once the records are committed. */
    readonly jobStates: ReadonlyMap<JobId, CellJobState>;
}

/** Collects the output of the components until the owner drains it at the end of a turn. */
export class Outbox {
    #records: CellRecord[] = [];
    #commands: WorkerCommand[] = [];
    #questions: AdviceRequest[] = [];
    #acknowledgements = new Map<WorkerState, number>();
    #changedJobs = new Set<Job>();

    get isEmpty(): boolean {
        return this.#records.length + this.#commands.length + this.#questions.length + this.#acknowledgements.size
                + this.#changedJobs.size === 0;
    }

    record(record: CellRecord): void {
        this.#records.push(record);
    }

    command(command: WorkerCommand): void {
        this.#commands.push(command);
    }

    ask(question: AdviceRequest): void {
        this.#questions.push(question);
    }

    /** Lets a worker incarnation forget its ends up to number `through` once the records collected so far are committed. */
    acknowledge(worker: WorkerState, through: number): void {
        this.#acknowledgements.set(worker, Math.max(through, this.#acknowledgements.get(worker) ?? 0));
    }

    markJobChanged(job: Job): void {
        this.#changedJobs.add(job);
    }

    /** Returns the collected output and starts anew. */
    drain(): TurnOutput {
        const output: TurnOutput = {
            records: this.#records,
            commands: this.#commands,
            questions: this.#questions,
            acknowledgements: this.#acknowledgements,
            jobStates: new Map([...this.#changedJobs].map(job => [job.id, job.state])),
        };
        this.#records = [];
        this.#commands = [];
        this.#questions = [];
        this.#acknowledgements = new Map();
        this.#changedJobs = new Set();
        return output;
    }
}
