/** The scheduler of a cell: its inputs, and the wiring of its components. */
import {
    type JobId,
    logEvents,
    type Milliseconds,
    type QueueName,
    type RunNumber,
    type TaskAddress,
    type WorkerId,
    type WorkerLife,
} from "@pebbledale/core";
import type { AdviceAnswer } from "../advice/index.js";
import { AdviceDesk } from "../advising/index.js";
import type { CellConfiguration } from "../configuration/index.js";
import { type CrashSummary, CrashWatch, SilenceLog } from "../crashes/index.js";
import { UrgentHeadroom } from "../headroom/index.js";
import { mayLoseOne, Mover } from "../moving/index.js";
import { PaceKeeper } from "../pacing/index.js";
import { Placer } from "../placing/index.js";
import { RunBook, type Silence, WorkerPool } from "../runs/index.js";
import { Entitlement, HandInRate, OwedFirst } from "../shares/index.js";
import { SpeedBook, type WorkerSpeeds } from "../speeds/index.js";
import {
    CellContext,
    CellJobState,
    type CellOptions,
    type CellRecord,
    type CellSnapshot,
    type Job,
    type JobDefinition,
    type TaskRun,
    type Turn,
    type WorkerState,
} from "../state/index.js";
import { type Look, OrderRefusal, RunEnd } from "../task-worker/index.js";
import type { PlannedWorker } from "../upkeep/index.js";
import { HealthWatch, ProgressWatch } from "../watching/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { RunStopper, SavedProgressYields } from "../yielding/index.js";
import { type CellSummary, summarize } from "./cell-summary.js";
import { failedRunPause } from "./constants.js";
import { JobFlow } from "./job-flow.js";
import { StartDesk } from "./start-desk.js";
import { TimetableWatch } from "./timetable-watch.js";

const unexplainedSilence: Silence = { cause: "no answer" };

/**
 * Makes all decisions of a cell's owner. Each input changes the state and adds records, commands and questions to an outbox, which
 * the caller drains. It performs no I/O and reads time only through the given clock, so that the same inputs lead to the same output.
 */
export class CellScheduler {
    readonly #context: CellContext;
    readonly #runs: RunBook;
    readonly #advice: AdviceDesk;
    readonly #health: HealthWatch;
    readonly #progress: ProgressWatch;
    readonly #mover: Mover;
    readonly #placer: Placer;
    readonly #timetables: TimetableWatch;
    readonly #pool: WorkerPool;
    readonly #starts: StartDesk;
    readonly #flow: JobFlow;
    readonly #crashes: CrashWatch;
    readonly #entitlements: HandInRate;
    readonly #speeds: WorkerSpeeds = new SpeedBook();
    #wantsPass = false;

    constructor(options: CellOptions) {
        this.#context = new CellContext(options);
        this.#entitlements = new HandInRate(organisation => this.#context.queues?.rateOf(organisation));
        const silences = new SilenceLog();
        this.#runs = new RunBook(this.#context, {
            stepChanged: step => this.#flow.stepChanged(step),
            jobEnded: job => this.#flow.jobEnded(job),
            runEnded: (run, end) => this.#runEnded(run, end),
            struck: (task, strike) => this.#crashes.note(task, strike),
        });
        this.#starts = new StartDesk(this.#context, this.#runs, () => this.#wantsPass = true);
        this.#crashes = new CrashWatch(this.#context, task => this.#runs.giveUp(task));
        this.#advice = new AdviceDesk(this.#context);
        this.#health = new HealthWatch(this.#context);
        this.#progress = new ProgressWatch(this.#context);
        this.#mover = new Mover(this.#context, this.#runs, this.#progress, this.#crashes);
        this.#pool = new WorkerPool({
            context: this.#context,
            runs: this.#runs,
            progress: this.#progress,
            paces: new PaceKeeper(this.#context),
            crashes: this.#crashes,
            silences,
            listener: {
                roomChanged: () => this.#wantsPass = true,
                workerDrains: worker => {
                    this.#wantsPass = true;
                    options.onWorkerLeaves?.(worker.id);
                },
                workerGone: worker => {
                    this.#health.forgetWorker(worker);
                    this.#advice.forgetWorker(worker.id);
                    this.#speeds.forgetWorker(worker);
                },
            },
        });
        this.#timetables = new TimetableWatch(this.#context, occurrence => this.#flow.openOccurrence(occurrence));
        const yields = new SavedProgressYields(this.#context);
        this.#placer = new Placer({
            context: this.#context,
            runs: this.#runs,
            advice: this.#advice,
            health: this.#health,
            mover: this.#mover,
            crashes: this.#crashes,
            yields,
            shares: new OwedFirst(this.#entitlements),
            headroom: new UrgentHeadroom(this.#context, yields, new RunStopper(this.#context, this.#runs)),
        });
        this.#flow = new JobFlow(
            this.#context,
            { placer: this.#placer, timetables: this.#timetables, health: this.#health },
            () => this.#wantsPass = true,
        );
    }

    /** All workers that are to be polled. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#pool.workers;
    }

    get jobs(): ReadonlyMap<JobId, Job> {
        return this.#context.table.jobs;
    }

    get isConfigured(): boolean {
        return this.#context.queues !== undefined;
    }

    /** Whether something changed since the last scheduling cycle that may let waiting tasks start. */
    get wantsPass(): boolean {
        return this.#wantsPass;
    }

    /** Restores the state from the journal. Called once, before any other input. */
    recover(snapshot: CellSnapshot | undefined, records: readonly CellRecord[]): void {
        const { table } = this.#context;
        if (snapshot !== undefined) {
            table.restore(snapshot);
        }
        records.forEach(record => table.apply(record));
        table.jobs.forEach(job => this.#context.usage.recoverLimit(job.organisation, job.terms.organisationLimit));
        inOrderOfAcceptance(table.jobs.values()).forEach(job => this.#entitlements.noteJob(job));
        this.#crashes.recover();
        this.#pool.recover();
        for (const job of table.jobs.values()) {
            job.isKept = true;
            job.shownState = job.state;
            this.#flow.openSteps(job);
        }
    }

    configure(configuration: CellConfiguration): void {
        this.#context.configure(configuration);
        this.#wantsPass = true;
    }

    /**
     * Accepts a job, or returns the known one of the same id. The caller may be answered only after the record is persisted.
     * Undefined when this owner's configuration does not name the job's queue or organisation.
     */
    submit(definition: JobDefinition): Job | undefined {
        const { table, outbox, options } = this.#context;
        const known = table.jobs.get(definition.job);
        if (known !== undefined) {
            options.log.log(logEvents.jobRepeated, { job: known.id, state: known.state });
            return known;
        }
        const terms = this.#context.termsOf(definition.queue, definition.organisation);
        if (terms === undefined) {
            return undefined;
        }
        this.#context.record({ kind: "accepted", at: this.#context.wallClock(), definition, terms });
        const job = table.jobs.get(definition.job)!;
        this.#entitlements.noteJob(job);
        options.log.log(logEvents.jobAccepted, {
            job: job.id,
            queue: job.queue,
            organisation: job.organisation,
            isOwed: this.#entitlements.of(job) === Entitlement.Owed,
            steps: definition.steps.length,
            tasks: definition.steps.reduce((sum, step) => sum + step.taskCount, 0),
        });
        outbox.changed(job.id);
        this.#flow.openSteps(job);
        return job;
    }

    /** Whether this owner's configuration names the queue and the organisation of a job. */
    knowsTermsOf({ queue, organisation }: JobDefinition): boolean {
        return this.#context.termsOf(queue, organisation) !== undefined;
    }

    /** Whether the organisation's limit is too low for any step of a job: for the whole of a gang, or for one task of another step. */
    isBeyondLimit({ organisation, steps }: JobDefinition): boolean {
        const { usage } = this.#context;
        return steps.some(({ size, isGang, taskCount }) =>
            usage.countWhenIdle(organisation, size) < (isGang ? taskCount : 1)
        );
    }

    /** Cancels a job; false when it is unknown. The caller may be answered only after the record is persisted. */
    cancel(id: JobId): boolean {
        const job = this.#context.table.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (!job.isOver) {
            this.#context.record({ kind: "cancelled", at: this.#context.wallClock(), job: id });
            this.#context.options.log.log(logEvents.jobCancelled, { job: id });
            this.#context.outbox.changed(id);
            this.#runs.stopJob(job, "cancelled by the caller");
            this.#flow.jobEnded(job);
        }
        return true;
    }

    /** State of a job as reported to callers; undefined when it is unknown or its acceptance is not persisted yet. */
    stateOf(id: JobId): CellJobState | undefined {
        const job = this.#context.table.jobs.get(id);
        return job?.isKept === true ? job.shownState : undefined;
    }

    /** Number of accepted jobs of a queue of which no task has started. */
    pendingOf(queue: QueueName): number {
        let count = 0;
        for (const job of this.#context.table.jobs.values()) {
            count += job.queue === queue && job.isKept && job.shownState === CellJobState.Queued ? 1 : 0;
        }
        return count;
    }

    /** Applies a complete listing of workers. `unreadable`: listed workers whose entries cannot be parsed. */
    listWorkers(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[] = []): void {
        this.#pool.takeListing(entries, unreadable);
    }

    /** Applies changes of workers' entries since the last listing or change. */
    changeWorkers(
        changed: readonly WorkerEntry[],
        gone: readonly WorkerId[],
        unreadable: readonly WorkerId[] = [],
    ): void {
        changed.forEach(entry => this.#pool.takeEntry(entry));
        gone.forEach(id => this.#pool.takeGone(id));
        unreadable.forEach(id => this.#pool.takeUnreadable(id));
    }

    /**
     * Applies a full poll of a worker. `sentAt`: when the request was sent, by the owner's monotonic clock. `settledBefore`: start
     * orders sent before this time whose runs are not reported were not carried out and will not be.
     */
    takeLook(worker: WorkerId, look: Look, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        this.#pool.takeLook(worker, look, sentAt, settledBefore);
    }

    /** Applies ends of runs that a worker reported outside a full poll. */
    takeEnds(worker: WorkerId, ended: Look["ended"]): void {
        this.#pool.takeEnds(worker, ended);
    }

    /** Applies that a worker does not answer. `lapsesAt`: when its last lease expires, if known. */
    takeSilence(worker: WorkerId, lapsesAt: Milliseconds | undefined, silence: Silence = unexplainedSilence): void {
        this.#pool.takeSilence(worker, lapsesAt, silence);
    }

    /** Applies that a worker restarted under its id. `life`: undefined on platforms that do not name incarnations. */
    takeRestart(worker: WorkerId, life: WorkerLife | undefined): void {
        this.#pool.takeRestart(worker, life);
    }

    /** Applies that a worker with another id answers at this worker's address. */
    takeOtherLife(worker: WorkerId): void {
        this.#pool.takeOver(worker);
    }

    /** Applies that a worker accepted a start order. */
    startTaken(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.startTaken(worker, task, run);
    }

    /** Applies that a start order was not carried out and will not be. `refusal`: undefined when it did not reach the worker. */
    startRefused(worker: WorkerId, task: TaskAddress, run: RunNumber, refusal: OrderRefusal | undefined): void {
        this.#starts.startRefused(worker, task, run, refusal);
    }

    /** Applies an answer of the advice service; undefined when the call failed, for the reason in `cause`. */
    takeAdvice(
        step: string,
        asked: readonly WorkerId[],
        answer: AdviceAnswer | undefined,
        cause = "no answer",
    ): void {
        this.#advice.take(step, asked, answer, cause);
        this.#wantsPass = true;
    }

    /** Whether the answer to a queued question about a step would still be used. */
    isAdviceWanted(step: string): boolean {
        return this.#advice.isWanted(step);
    }

    /** Drops a queued question about a step. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void {
        this.#advice.drop(step, workers);
    }

    /** Applies that all records of a turn are persisted. */
    kept(step: Turn): void {
        const { table, workers } = this.#context;
        for (const record of step.records) {
            if (record.kind === "accepted") {
                const job = table.jobs.get(record.definition.job);
                if (job !== undefined) {
                    job.isKept = true;
                }
                this.#wantsPass = true;
            }
            if (record.kind === "worker") {
                const worker = workers.get(record.worker);
                if (worker !== undefined) {
                    worker.isRecorded = true;
                }
                this.#wantsPass = true;
            }
        }
        step.changedJobs.forEach(id => this.#flow.showState(table.jobs.get(id)));
    }

    /** Marks a start order as sent, now that its record is persisted; false when it must be dropped instead. */
    sendStart(worker: WorkerId, task: TaskAddress, run: RunNumber): boolean {
        return this.#starts.sendStart(worker, task, run);
    }

    /** Drops a start order that was never sent. */
    dropStart(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.dropStart(worker, task, run);
    }

    /** Handles everything that depends on the passing of time. Called at regular intervals. */
    tick(): void {
        this.#pool.tick();
        this.#crashes.tick();
        this.#health.tick();
        this.#timetables.tick();
        this.#mover.tick();
        this.#wantsPass = true;
    }

    /** Replaces the set of workers that get no new runs because their VMs are about to undergo upkeep. */
    closeWorkers(closed: ReadonlySet<WorkerId>): void {
        for (const worker of this.workers.values()) {
            this.#wantsPass ||= worker.isClosed && !closed.has(worker.id);
            worker.isClosed = closed.has(worker.id);
        }
    }

    /** State of a worker as the upkeep planner needs it. */
    plannedWorkerOf(id: WorkerId): PlannedWorker {
        const runs = [...this.workers.get(id)?.runs.values() ?? []];
        const holdsNeeded = runs.some(({ task: { step } }) => step.definition.isLasting && !mayLoseOne(step));
        return { runs: runs.length, holdsNeeded };
    }

    /** Runs a scheduling cycle: starts the waiting tasks that fit. */
    place(): void {
        this.#wantsPass = false;
        this.#placer.place();
    }

    /** Figures about the cell for logs and metrics. */
    summary(): CellSummary & CrashSummary {
        return {
            ...summarize(
                this.#context,
                this.#placer.readySteps,
                this.#placer.heldBack,
                service => this.#placer.keptIn(service),
            ),
            ...this.#crashes.summary(),
        };
    }

    /** Returns and clears the output of all inputs so far. */
    drain(): Turn {
        return this.#context.outbox.drain();
    }

    /** Whether there is output to drain. */
    get hasOutput(): boolean {
        return !this.#context.outbox.isEmpty;
    }

    /** Serializable copy of the state. */
    snapshot(): CellSnapshot {
        return this.#context.table.snapshot();
    }

    #runEnded(run: TaskRun, end: RunEnd): void {
        const { step } = run.task;
        this.#health.noteEnd(run, end);
        if (end === RunEnd.Done) {
            this.#speeds.noteDone(run, this.#context.now());
            this.#progress.noteDone(run);
        }
        if (end !== RunEnd.Done && step.definition.isGang && !step.isDone) {
            this.#starts.stopMembers(step, "another member of its gang ended");
        }
        if (end === RunEnd.Failed) {
            step.notBefore = Math.max(step.notBefore, this.#context.now() + failedRunPause);
        }
    }
}

const inOrderOfAcceptance = (jobs: Iterable<Job>): Job[] =>
    [...jobs].sort((left, right) => left.acceptedAt - right.acceptedAt);
