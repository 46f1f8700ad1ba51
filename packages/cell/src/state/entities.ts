/** The owner's view of jobs, their steps and tasks, and the runs of these. */
import type {
    JobId,
    Milliseconds,
    OrganisationName,
    QueueName,
    RunNumber,
    TaskAddress,
    WorkerId,
    WorkerIncarnation,
} from "@pebbledale/core";
import {
    CellJobState,
    formatStepAddress,
    formatTaskAddress,
    isTerminalState,
    type JobDefinition,
    type JobTerms,
    type StepDefinition,
} from "./definition.js";
import type { StepPermits } from "./step-permits.js";
import { StrikeLedger } from "./strikes.js";
import type { WorkerState } from "./worker-state.js";

/** Phase of one task. */
export enum TaskPhase {
    /** Has no run at work. */
    Waiting = "waiting",
    /** Has at least one run that is ordered or at work. */
    Active = "active",
    Done = "done",
    /** Will not be tried again. */
    Failed = "failed",
}

/** Phase of one run. */
export enum RunPhase {
    /** Ordered; the worker has not confirmed it. */
    Ordered = "ordered",
    Running = "at-work",
    /** Told to stop; its room is free once its end is seen. */
    Stopping = "stopping",
}

/** What is known of a run at the life of a worker that it was ordered of, once another life answers. */
export interface FormerIncarnation {
    readonly incarnation: WorkerIncarnation | undefined;
    /** How long that life was heard after it had taken the run; undefined when it was not heard to take it. */
    readonly observedRunTime: Milliseconds | undefined;
    /** Whether that life had said that it leaves, so that its end was no crash. */
    readonly wasLeaving: boolean;
}

/** Progress of a run, in percent, at a time by its worker's clock. */
export interface ProgressSample {
    readonly percent: number;
    readonly at: Milliseconds;
}

/** Progress of a run from when it is watched, and at the latest sample. */
export interface ProgressSamples {
    readonly first: ProgressSample;
    readonly latest: ProgressSample;
}

/** One run of a task at a worker. */
export interface TaskRun {
    readonly task: Task;
    readonly run: RunNumber;
    /** Replaced when its worker starts again before it is known which of the two lives has the run. */
    worker: WorkerState;
    phase: RunPhase;
    /** When its order was handed to the worker's link, by the owner's monotonic clock; undefined before. */
    sentAt: Milliseconds | undefined;
    /** When the worker confirmed it. */
    confirmedAt: Milliseconds | undefined;
    /** Progress as last seen, 0 to 100, and when it last changed; before the first change when the run was ordered. */
    percent: number;
    progressedAt: Milliseconds;
    /** Progress when this owner first saw some, and when that was. */
    firstProgress: { readonly percent: number; readonly at: Milliseconds; } | undefined;
    /** Its progress as it is sampled for its worker's speed; undefined while nothing was sampled. */
    progressSamples: ProgressSamples | undefined;
    checkpoint: string;
    /** Share of its speed at which it may work, in percent. */
    pace: number;
    /** Why it was told to stop; undefined while it was not. */
    stopReason: string | undefined;
    /** Whether its worker's life has shown it in a look: no other life will. */
    isReported: boolean;
    /** Set while it was ordered of a former life of its worker and which life carried the order out is not known yet. */
    formerIncarnation: FormerIncarnation | undefined;
    /** Whether an earlier owner ordered it: it has been at work for longer than this owner knows of. */
    readonly isAdopted: boolean;
    /** Whether it is tried apart: its worker takes nothing new meanwhile. */
    isTrial: boolean;
}

/** Where a run was ordered. */
export interface OpenRun {
    readonly worker: WorkerId;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** One task of an occurrence of a step. */
export class Task {
    phase = TaskPhase.Waiting;
    /** Highest run number that is known of. */
    lastRun = 0;
    failures = 0;
    /** The newest progress that is known of; empty when there is none. */
    checkpoint = "";
    readonly runs: TaskRun[] = [];
    /** How often a run of it was stopped for more urgent work, under this owner. */
    preemptions = 0;
    /** Runs whose ends were taken in. */
    readonly endedRuns = new Set<number>();
    /** Where runs were recorded that are not over, by run. */
    readonly openRuns = new Map<RunNumber, OpenRun>();
    readonly address: TaskAddress;

    constructor(readonly step: Step, readonly index: number) {
        this.address = formatTaskAddress({
            job: step.occurrence.job.id,
            occurrence: step.occurrence.number,
            step: step.index,
            index,
        });
    }

    /** Notes newer progress. Any member's serves for its gang, and all members start from the same. */
    updateCheckpoint(checkpoint: string): void {
        if (checkpoint === "" || checkpoint === this.checkpoint) {
            return;
        }
        const members = this.step.definition.isGang ? this.step.tasks : [this];
        members.forEach(member => member.checkpoint = checkpoint);
    }
}

/** One step of an occurrence. */
export class Step {
    readonly tasks: Task[];
    doneCount = 0;
    /** Failed runs of all its tasks. */
    failedRuns = 0;
    /** Runs of the whole gang in which a member failed: each counts once, in whatever order their ends are seen. */
    readonly failedGangRuns = new Set<number>();
    /** When all it waits for was done, by the owner's monotonic clock. */
    readyAt: Milliseconds | undefined;
    /** Which workers may run it; undefined when all of the service may. */
    permits: StepPermits | undefined;
    /** Not before this, by the owner's monotonic clock. */
    notBefore: Milliseconds = 0;
    readonly address: string;

    constructor(
        readonly occurrence: Occurrence,
        readonly index: number,
        readonly definition: StepDefinition,
    ) {
        this.address = formatStepAddress(occurrence.job.id, occurrence.number, index);
        this.tasks = Array.from({ length: definition.taskCount }, (_, task) => new Task(this, task));
    }

    /** The job it belongs to. */
    get job(): Job {
        return this.occurrence.job;
    }

    /** Whether each of its tasks is done. */
    get isDone(): boolean {
        return this.doneCount === this.tasks.length;
    }

    /** Whether all steps that it waits for are done. */
    get isUnblocked(): boolean {
        return this.definition.after.every(index => this.occurrence.steps[index].isDone);
    }

    /** Whether a task has no run. */
    get hasWaitingTask(): boolean {
        return this.tasks.some(task => task.phase === TaskPhase.Waiting);
    }

    /** Tasks that have no run. */
    waitingTasks(): Task[] {
        return this.tasks.filter(task => task.phase === TaskPhase.Waiting);
    }
}

/** One time that a job's steps run. */
export class Occurrence {
    readonly steps: Step[];
    /** By step, the longest chain of work from it to the end, by the caller's estimates. */
    readonly criticalPaths: readonly Milliseconds[];

    constructor(readonly job: Job, readonly number: number, definition: JobDefinition) {
        this.steps = definition.steps.map((step, index) => new Step(this, index, step));
        this.criticalPaths = criticalPathsOf(definition.steps);
    }

    /** The longest chain of work of all its steps. */
    get criticalPath(): Milliseconds {
        return Math.max(...this.criticalPaths);
    }

    /** Whether each of its steps is done. */
    get isDone(): boolean {
        return this.steps.every(step => step.isDone);
    }
}

/** One job. */
export class Job {
    readonly occurrences = new Map<number, Occurrence>();
    state = CellJobState.Queued;
    /** The state that callers are told: final only once its record is kept. */
    publishedState = CellJobState.Queued;
    /** Whether the record of its acceptance is kept. */
    isCommitted = false;
    /** Occurrences that are done; nothing more is kept of them. */
    readonly doneOccurrences = new Set<number>();
    /** Workers that were lost with runs of its tasks. */
    readonly strikes = new StrikeLedger();
    /** The first occurrence whose time has not come. */
    nextOccurrence = 0;
    /** When it ended, in milliseconds since 1970. */
    endedAt: number | undefined;
    #definition: JobDefinition | undefined;

    constructor(
        readonly id: JobId,
        readonly queue: QueueName,
        /** Milliseconds since 1970. */
        readonly acceptedAt: number,
        definition: JobDefinition | undefined,
        /** What its queue asks for, as last known. */
        public terms: JobTerms,
        /** By the owner's monotonic clock; of a job of an earlier owner the time at which it was read. */
        readonly acceptedAtMonotonic: Milliseconds,
        /** Whose it is, also once its definition is let go of; undefined where nobody is told apart. */
        readonly organisation: OrganisationName | undefined,
    ) {
        this.#definition = definition;
    }

    /** What was handed in; undefined once the job is over and nothing of it runs. */
    get definition(): JobDefinition | undefined {
        return this.#definition;
    }

    /** How often its steps run. */
    get occurrenceCount(): number {
        return this.#definition?.timetable?.occurrences ?? 1;
    }

    /** When an occurrence is due, in milliseconds since 1970; undefined for a job without a timetable. */
    dueAt(number: number): number | undefined {
        const timetable = this.#definition?.timetable;
        return timetable === undefined ? undefined : timetable.firstAt + number * timetable.interval;
    }

    /** Whether it has ended, kept or not. */
    get isOver(): boolean {
        return isTerminalState(this.state);
    }

    /** Lets go of all but its state. */
    discardDetails(): void {
        this.#definition = undefined;
        this.occurrences.clear();
    }
}

/** All tasks of a job's occurrences that are known. */
export const tasksOf = (job: Job): Task[] =>
    [...job.occurrences.values()].flatMap(occurrence => occurrence.steps.flatMap(step => step.tasks));

const criticalPathsOf = (steps: readonly StepDefinition[]): Milliseconds[] => {
    const paths = steps.map(step => step.estimate);
    for (let later = steps.length - 1; later >= 0; later--) {
        for (const before of steps[later].after) {
            paths[before] = Math.max(paths[before], steps[before].estimate + paths[later]);
        }
    }
    return paths;
};
