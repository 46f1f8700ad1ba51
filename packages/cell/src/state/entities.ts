/** Entities of the job table: jobs, occurrences, steps, tasks and their runs. */
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

/** Phase of a task across all its runs. */
export enum TaskPhase {
    /** Neither done nor failed, and has no run. */
    Waiting = "waiting",
    /** Has at least one run that is ordered, running or stopping. */
    Active = "active",
    Done = "done",
    /** Has failed for good and is not retried. */
    Failed = "failed",
}

/** Phase of a run at its worker, as far as the owner knows. */
export enum RunPhase {
    /** Ordered and not yet confirmed by the worker. */
    Ordered = "ordered",
    Running = "at-work",
    /** Stop ordered; its resources stay allocated until the worker reports the end. */
    Stopping = "stopping",
}

/** What is known of a run under the incarnation of the worker that it was ordered from, once another incarnation answers. */
export interface FormerIncarnation {
    readonly incarnation: WorkerIncarnation | undefined;
    /** Time from its confirmation of the run to its last answer; undefined when it never confirmed the run. */
    readonly observedRunTime: Milliseconds | undefined;
    /** Whether it had announced that it leaves, so that its end was not a crash. */
    readonly wasLeaving: boolean;
}

/** Progress of a run in percent, with the time of its worker's clock. */
export interface ProgressSample {
    readonly percent: number;
    readonly at: Milliseconds;
}

/** First and latest progress sample of a run, from which its speed is estimated. */
export interface ProgressSamples {
    readonly first: ProgressSample;
    readonly latest: ProgressSample;
}

/** One attempt to run a task on a worker. */
export interface TaskRun {
    readonly task: Task;
    readonly run: RunNumber;
    /** Replaced when the worker restarts before it is known which of its two incarnations has the run. */
    worker: WorkerState;
    phase: RunPhase;
    /** When the order was passed to the worker's link, by the owner's monotonic clock; undefined before that. */
    sentAt: Milliseconds | undefined;
    confirmedAt: Milliseconds | undefined;
    /** Last reported progress, 0 to 100, and when it last changed; initially the time of the order. */
    percent: number;
    progressedAt: Milliseconds;
    /** First progress that was reported to this owner, and when. */
    firstProgress: { readonly percent: number; readonly at: Milliseconds; } | undefined;
    /** Progress samples used to estimate the worker's speed; undefined before the first sample. */
    progressSamples: ProgressSamples | undefined;
    checkpoint: string;
    /** Share of full speed at which the run may work, in percent. */
    pace: number;
    /** Reason for the stop order; undefined unless one was sent. */
    stopReason: string | undefined;
    /** Whether the worker's current incarnation has reported the run in a poll; no other incarnation will. */
    isReported: boolean;
    /** Set while the run was ordered from a former incarnation and it is unknown which incarnation carried out the order. */
    formerIncarnation: FormerIncarnation | undefined;
    /** Whether an earlier owner ordered it, so that it has been running for longer than this owner knows. */
    readonly isAdopted: boolean;
    /** Whether this is a trial of a suspected task: the worker takes no other new runs than trials while it lasts. */
    isTrial: boolean;
}

/** Worker and incarnation from which a run was ordered. */
export interface OpenRun {
    readonly worker: WorkerId;
    readonly incarnation: WorkerIncarnation | undefined;
    /** Whether it was seen to run on past its start; only recorded while there are strikes against its task. */
    readonly isPastStart?: boolean;
}

/** A task of a step, with all its runs. */
export class Task {
    phase = TaskPhase.Waiting;
    /** Highest run number known to this owner. */
    lastRun = 0;
    failures = 0;
    /** Latest known checkpoint; empty when there is none. */
    checkpoint = "";
    readonly runs: TaskRun[] = [];
    /** How often a run was preempted by more urgent work under this owner. */
    preemptions = 0;
    /** Runs whose ends have been applied. */
    readonly endedRuns = new Set<number>();
    /** Recorded runs that have not ended, by run number. */
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

    /** Stores a newer checkpoint. A checkpoint of one gang member applies to the whole gang, so that all members resume from the same one. */
    updateCheckpoint(checkpoint: string): void {
        if (checkpoint === "" || checkpoint === this.checkpoint) {
            return;
        }
        const members = this.step.definition.isGang ? this.step.tasks : [this];
        members.forEach(member => member.checkpoint = checkpoint);
    }
}

/** A step of an occurrence, with its tasks. */
export class Step {
    readonly tasks: Task[];
    doneCount = 0;
    /** Number of failed runs across all its tasks. */
    failedRuns = 0;
    /** Gang runs in which a member failed. Each counts as one failure, whatever the order in which the ends arrive. */
    readonly failedGangRuns = new Set<number>();
    /** When all steps that it depends on were complete, by the owner's monotonic clock. */
    readyAt: Milliseconds | undefined;
    /** Workers permitted by the advice service; undefined when every worker of the service may run the step. */
    permits: StepPermits | undefined;
    /** Earliest start of its tasks, by the owner's monotonic clock. */
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

    get job(): Job {
        return this.occurrence.job;
    }

    get isDone(): boolean {
        return this.doneCount === this.tasks.length;
    }

    /** Whether all steps that it depends on are complete. */
    get isUnblocked(): boolean {
        return this.definition.after.every(index => this.occurrence.steps[index].isDone);
    }

    get hasWaitingTask(): boolean {
        return this.tasks.some(task => task.phase === TaskPhase.Waiting);
    }

    waitingTasks(): Task[] {
        return this.tasks.filter(task => task.phase === TaskPhase.Waiting);
    }
}

/** One execution of all steps of a job; a job without a timetable has exactly one. */
export class Occurrence {
    readonly steps: Step[];
    /** By step, the estimated duration of the longest chain of dependent steps from this step to the end. */
    readonly criticalPaths: readonly Milliseconds[];

    constructor(readonly job: Job, readonly number: number, definition: JobDefinition) {
        this.steps = definition.steps.map((step, index) => new Step(this, index, step));
        this.criticalPaths = criticalPathsOf(definition.steps);
    }

    /** Estimated duration of the longest chain of dependent steps. */
    get criticalPath(): Milliseconds {
        return Math.max(...this.criticalPaths);
    }

    get isDone(): boolean {
        return this.steps.every(step => step.isDone);
    }
}

/** A job, with the occurrences that are known and not over. */
export class Job {
    readonly occurrences = new Map<number, Occurrence>();
    state = CellJobState.Queued;
    /** State reported to callers; it becomes final only after the record that ends the job is committed. */
    publishedState = CellJobState.Queued;
    /** Whether the record that accepts the job is committed. */
    isCommitted = false;
    /** Numbers of the occurrences that are complete. */
    readonly doneOccurrences = new Set<number>();
    /** Worker losses held against its tasks. */
    readonly strikes = new StrikeLedger();
    /** Number of the first occurrence that is not open yet. */
    nextOccurrence = 0;
    /** In milliseconds since 1970. */
    endedAt: number | undefined;
    #definition: JobDefinition | undefined;

    constructor(
        readonly id: JobId,
        readonly queue: QueueName,
        /** In milliseconds since 1970. */
        readonly acceptedAt: number,
        definition: JobDefinition | undefined,
        /** Latest known terms of its queue. */
        public terms: JobTerms,
        /** By the owner's monotonic clock. */
        readonly acceptedAtMonotonic: Milliseconds,
        /** Kept after the definition is discarded; undefined in a cell without organisations. */
        readonly organisation: OrganisationName | undefined,
    ) {
        this.#definition = definition;
    }

    /** The submitted definition; undefined once the job is over and none of its tasks has a run. */
    get definition(): JobDefinition | undefined {
        return this.#definition;
    }

    /** Number of occurrences that its timetable asks for; 1 without a timetable. */
    get occurrenceCount(): number {
        return this.#definition?.timetable?.occurrences ?? 1;
    }

    /** Due time of an occurrence, in milliseconds since 1970; undefined for a job without a timetable. */
    dueAt(number: number): number | undefined {
        const timetable = this.#definition?.timetable;
        return timetable === undefined ? undefined : timetable.firstAt + number * timetable.interval;
    }

    /** Whether it has ended, whether or not the record of that is committed. */
    get isOver(): boolean {
        return isTerminalState(this.state);
    }

    /** Frees the definition and all occurrences; the state remains for queries. */
    discardDetails(): void {
        this.#definition = undefined;
        this.occurrences.clear();
    }
}

/** Tasks of all occurrences that are in memory. */
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
