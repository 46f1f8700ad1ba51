/** The replayable state of a cell and its snapshots. */
import type { JobId, Milliseconds, OrganisationName, RunNumber, WorkerId, WorkerIncarnation } from "@pebbledale/core";
import { RunEnd } from "../task-worker/index.js";
import { CellJobState, type JobDefinition, type JobTerms, parseTaskAddress } from "./definition.js";
import { Job, Occurrence, type Step, type Task, TaskPhase, tasksOf } from "./entities.js";
import type {
    AcceptedRecord,
    CellRecord,
    EndedRecord,
    GivenUpRecord,
    LostRecord,
    PastStartRecord,
    StartedRecord,
} from "./records.js";
import type { Strike } from "./strikes.js";

/** Snapshot of a run that has not ended: run, worker, and the incarnation that it was ordered from if that is known. */
type OpenRunSnapshot = readonly [RunNumber, WorkerId, WorkerIncarnation?];

/**
 * Snapshot of a task: step, index, phase, last run, failures, checkpoint, ended runs, open runs, and those of the open runs that are
 * past their start if there are any.
 */
type TaskSnapshot = readonly [
    number,
    number,
    TaskPhase,
    number,
    number,
    string,
    readonly number[],
    readonly OpenRunSnapshot[],
    (readonly RunNumber[])?,
];

/** Snapshot of an occurrence: number, failed gang runs of each step, tasks that differ from their initial state. */
type OccurrenceSnapshot = readonly [number, readonly (readonly number[])[], readonly TaskSnapshot[]];

/** Stored form of a job. */
export interface JobSnapshot {
    readonly id: JobId;
    readonly queue: Job["queue"];
    /** Absent where the job has none, and in snapshots of versions without organisations. */
    readonly organisation?: OrganisationName;
    readonly acceptedAt: number;
    readonly endedAt: number | undefined;
    readonly state: CellJobState;
    readonly doneOccurrences: readonly number[];
    readonly definition: JobDefinition | undefined;
    readonly terms: JobTerms;
    readonly occurrences: readonly OccurrenceSnapshot[];
    /** Absent in snapshots of versions without strikes. */
    readonly strikes?: readonly Strike[];
}

/** Snapshot of a worker: id, address, and its current incarnation if that is known. */
type WorkerSnapshot = readonly [WorkerId, string, WorkerIncarnation?];

/** Stored form of a cell's state, from which an owner restores a job table before it applies later records. */
export interface CellSnapshot {
    readonly jobs: readonly JobSnapshot[];
    readonly workers: readonly WorkerSnapshot[];
}

/** A worker from which runs may have been ordered, as the journal describes it. */
export interface KnownWorker {
    readonly address: string;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** All jobs of a cell. It changes only through records, so that replaying the journal yields the same state. */
export class JobTable {
    readonly jobs = new Map<JobId, Job>();
    /** Workers from which runs may have been ordered. */
    readonly knownWorkers = new Map<WorkerId, KnownWorker>();

    /** `monotonicOf`: converts a time in milliseconds since 1970 to the owner's monotonic clock. */
    constructor(private readonly monotonicOf: (time: number) => Milliseconds) {}

    /** Applies a record; a record that no longer applies is ignored. */
    apply(record: CellRecord): void {
        switch (record.kind) {
            case "accepted":
                this.#accept(record);
                break;
            case "cancelled":
                this.#end(this.jobs.get(record.job), CellJobState.Cancelled, record.at);
                break;
            case "started":
                this.#start(record);
                break;
            case "ended":
                this.#endRun(record);
                break;
            case "lost":
                this.#recordLoss(record);
                break;
            case "explained":
                this.taskOf(record.task)?.step.job.strikes.explain(record.task, record.run, record.isCrash);
                break;
            case "past-start":
                this.#notePastStart(record);
                break;
            case "cleared":
                this.taskOf(record.task)?.step.job.strikes.clear(record.task);
                break;
            case "given-up":
                this.#giveUp(record);
                break;
            case "forgotten":
                this.jobs.delete(record.job);
                break;
            case "worker":
                this.knownWorkers.set(record.worker, { address: record.address, incarnation: record.life });
                break;
            case "worker-gone":
                this.knownWorkers.delete(record.worker);
                break;
        }
    }

    /** Task at an address; undefined when its job is unknown or its definition is discarded. */
    taskOf(address: EndedRecord["task"]): Task | undefined {
        const coordinates = parseTaskAddress(address);
        const job = coordinates === undefined ? undefined : this.jobs.get(coordinates.job);
        if (coordinates === undefined || job?.definition === undefined) {
            return undefined;
        }
        return this.ensureOccurrence(job, coordinates.occurrence)?.steps[coordinates.step]?.tasks[coordinates.index];
    }

    /** Returns an occurrence of a job and creates it if necessary; undefined when it is complete or does not exist. */
    ensureOccurrence(job: Job, number: number): Occurrence | undefined {
        const known = job.occurrences.get(number);
        const isOver = number >= job.occurrenceCount || job.doneOccurrences.has(number);
        if (known !== undefined || job.definition === undefined || isOver) {
            return known;
        }
        const created = new Occurrence(job, number, job.definition);
        job.occurrences.set(number, created);
        return created;
    }

    /** Serializable copy of the state. */
    snapshot(): CellSnapshot {
        const workers = [...this.knownWorkers].map(([id, { address, incarnation }]): WorkerSnapshot =>
            incarnation === undefined ? [id, address] : [id, address, incarnation]
        );
        return { jobs: [...this.jobs.values()].map(snapshotOf), workers };
    }

    /** Adds the contents of a snapshot to an empty table. */
    restore(snapshot: CellSnapshot): void {
        snapshot.workers.forEach(([worker, address, incarnation]) =>
            this.knownWorkers.set(worker, { address, incarnation })
        );
        snapshot.jobs.forEach(saved => this.#restoreJob(saved));
    }

    #accept({ at, definition, terms }: AcceptedRecord): void {
        const { queue, organisation } = definition;
        const job = new Job(definition.job, queue, at, definition, terms, this.monotonicOf(at), organisation);
        this.jobs.set(job.id, job);
        if (definition.timetable === undefined) {
            this.ensureOccurrence(job, 0);
            job.nextOccurrence = 1;
        }
    }

    #end(job: Job | undefined, state: CellJobState, at: number): void {
        if (job !== undefined && !job.isOver) {
            job.state = state;
            job.endedAt = at;
        }
    }

    #start({ task: address, run, worker, life }: StartedRecord): void {
        const task = this.taskOf(address);
        if (task !== undefined) {
            task.lastRun = Math.max(task.lastRun, run);
            task.openRuns.set(run, { worker, incarnation: life });
        }
    }

    #notePastStart({ task: address, run }: PastStartRecord): void {
        const task = this.taskOf(address);
        const open = task?.openRuns.get(run);
        if (open !== undefined) {
            task?.openRuns.set(run, { ...open, isPastStart: true });
        }
    }

    #recordLoss({ task: address, run, strike }: LostRecord): void {
        const task = this.taskOf(address);
        task?.openRuns.delete(run);
        if (strike !== undefined) {
            task?.step.job.strikes.add(strike);
        }
    }

    #giveUp({ task: address, at }: GivenUpRecord): void {
        const task = this.taskOf(address);
        if (task !== undefined) {
            task.phase = TaskPhase.Failed;
            this.#end(task.step.job, CellJobState.Failed, at);
        }
    }

    #endRun(record: EndedRecord): void {
        const task = this.taskOf(record.task);
        if (task === undefined || task.endedRuns.has(record.run)) {
            return;
        }
        task.endedRuns.add(record.run);
        task.openRuns.delete(record.run);
        task.lastRun = Math.max(task.lastRun, record.run);
        this.#markRunning(task.step.job);
        task.updateCheckpoint(record.checkpoint);
        if (record.end === RunEnd.Done || record.end === RunEnd.Failed) {
            // The run ended by itself and its worker survived it.
            task.step.job.strikes.clear(record.task);
        }
        if (task.step.definition.isLasting) {
            // Lasting tasks are restarted however they end.
            return;
        }
        if (record.end === RunEnd.Done) {
            this.#finishTask(task, record.at);
        }
        else if (record.end === RunEnd.Failed) {
            this.#countFailure(task, record);
        }
    }

    #markRunning(job: Job): void {
        if (job.state === CellJobState.Queued) {
            job.state = CellJobState.Running;
        }
    }

    #finishTask(task: Task, at: number): void {
        const { step } = task;
        // Members of a gang complete together, so the completion of one counts for all.
        const finished = step.definition.isGang ? step.tasks : [task];
        for (const other of finished) {
            if (other.phase !== TaskPhase.Done) {
                other.phase = TaskPhase.Done;
                step.doneCount++;
            }
        }
        const { occurrence, job } = step;
        if (step.isDone && occurrence.isDone) {
            job.doneOccurrences.add(occurrence.number);
            if (job.doneOccurrences.size === job.occurrenceCount) {
                this.#end(job, CellJobState.Completed, at);
            }
        }
    }

    #countFailure(task: Task, { run, isFinal, at }: EndedRecord): void {
        const { step } = task;
        task.failures++;
        step.failedRuns++;
        if (step.definition.isGang) {
            step.failedGangRuns.add(run);
        }
        if (isFinal) {
            task.phase = TaskPhase.Failed;
            this.#end(step.job, CellJobState.Failed, at);
        }
    }

    #restoreJob(saved: JobSnapshot): void {
        const { id, queue, acceptedAt, definition, terms, organisation } = saved;
        const job = new Job(id, queue, acceptedAt, definition, terms, this.monotonicOf(acceptedAt), organisation);
        job.state = saved.state;
        job.endedAt = saved.endedAt;
        saved.doneOccurrences.forEach(number => job.doneOccurrences.add(number));
        saved.strikes?.forEach(strike => job.strikes.add(strike));
        this.jobs.set(job.id, job);
        for (const [number, gangs, tasks] of saved.occurrences) {
            const occurrence = this.ensureOccurrence(job, number);
            if (occurrence !== undefined) {
                gangs.forEach((failedRuns, index) =>
                    failedRuns.forEach(run => occurrence.steps[index].failedGangRuns.add(run))
                );
                tasks.forEach(task => restoreTask(occurrence, task));
            }
        }
    }
}

/**
 * Whether a snapshot must contain a job's tasks. Those of an ended job are included while runs of it are open, because these use
 * workers' resources and count towards the organisation's limit.
 */
const isRetained = (job: Job): boolean => !job.isOver || tasksOf(job).some(task => task.openRuns.size > 0);

const snapshotOf = (job: Job): JobSnapshot => ({
    id: job.id,
    queue: job.queue,
    ...(job.organisation === undefined ? {} : { organisation: job.organisation }),
    acceptedAt: job.acceptedAt,
    endedAt: job.endedAt,
    state: job.state,
    doneOccurrences: [...job.doneOccurrences],
    definition: isRetained(job) ? job.definition : undefined,
    terms: job.terms,
    occurrences: isRetained(job) ? [...job.occurrences.values()].map(snapshotOfOccurrence) : [],
    strikes: isRetained(job) ? job.strikes.all() : [],
});

const snapshotOfOccurrence = (occurrence: Occurrence): OccurrenceSnapshot => [
    occurrence.number,
    occurrence.steps.map(step => [...step.failedGangRuns]),
    occurrence.steps.flatMap(step => step.tasks.filter(isChanged).map(task => snapshotOfTask(step, task))),
];

const isChanged = (task: Task): boolean => task.lastRun > 0 || task.phase === TaskPhase.Done;

const snapshotOfTask = (step: Step, task: Task): TaskSnapshot => {
    const pastStart = [...task.openRuns].filter(([, { isPastStart }]) => isPastStart === true).map(([run]) => run);
    return [
        step.index,
        task.index,
        task.phase === TaskPhase.Active ? TaskPhase.Waiting : task.phase,
        task.lastRun,
        task.failures,
        task.checkpoint,
        [...task.endedRuns],
        [...task.openRuns].map(([run, { worker, incarnation }]): OpenRunSnapshot =>
            incarnation === undefined ? [run, worker] : [run, worker, incarnation]
        ),
        ...(pastStart.length === 0 ? [] as const : [pastStart] as const),
    ];
};

const restoreTask = (occurrence: Occurrence, saved: TaskSnapshot): void => {
    const [stepIndex, taskIndex, phase, lastRun, failures, checkpoint, endedRuns, openRuns, pastStart = []] = saved;
    const step = occurrence.steps[stepIndex];
    const task = step.tasks[taskIndex];
    task.phase = phase;
    task.lastRun = lastRun;
    task.failures = failures;
    step.failedRuns += failures;
    task.checkpoint = checkpoint;
    endedRuns.forEach(run => task.endedRuns.add(run));
    openRuns.forEach(([run, worker, life]) =>
        task.openRuns.set(run, { worker, incarnation: life, isPastStart: pastStart.includes(run) })
    );
    step.doneCount += phase === TaskPhase.Done ? 1 : 0;
};
