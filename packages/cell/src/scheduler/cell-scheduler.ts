/** The scheduler of a cell: its inputs, and the wiring of its components. */
import {
    type JobId,
    logEvents,
    type Milliseconds,
    type QueueName,
    type RunNumber,
    type TaskAddress,
    type WorkerId,
    type WorkerIncarnation,
} from "@pebbledale/core";
import type { AdviceAnswer } from "../advice/index.js";
import { AdvicePlanner } from "../advising/index.js";
import type { CellConfiguration } from "../configuration/index.js";
import { CrashMonitor, type CrashSummary, SilenceHistory } from "../crashes/index.js";
import { ClosedHalls, type HallClosures, HallRecovery } from "../data-halls/index.js";
import { EntitledFirst, Entitlement, SubmissionRate } from "../fair-share/index.js";
import { UrgentHeadroom } from "../headroom/index.js";
import { allowsDisruption, RunMigrator } from "../migration/index.js";
import { HealthMonitor, ProgressMonitor } from "../monitoring/index.js";
import { FillerPaceController } from "../pacing/index.js";
import { Placer } from "../placement/index.js";
import { RunPreemptor, SavedProgressPreemption } from "../preemption/index.js";
import { RunLifecycle, type Silence, WorkerPool } from "../runs/index.js";
import {
    CellContext,
    CellJobState,
    type CellOptions,
    type CellRecord,
    type CellSnapshot,
    type Job,
    type JobDefinition,
    type TaskRun,
    type TurnOutput,
    type WorkerState,
} from "../state/index.js";
import { OrderRefusal, type PollResult, RunEnd } from "../task-worker/index.js";
import type { PlannedWorker } from "../upkeep/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { SpeedEstimator, type WorkerSpeeds } from "../worker-speed/index.js";
import { type CellSummary, summarizeCell } from "./cell-summary.js";
import { failedRunDelay } from "./constants.js";
import { JobLifecycle } from "./job-lifecycle.js";
import { OccurrenceTimer } from "./occurrence-timer.js";
import { StartDispatcher } from "./start-dispatcher.js";

const unexplainedSilence: Silence = { cause: "no answer" };

/**
 * Makes all decisions of a cell's owner. Each input changes the state and adds records, commands and questions to an outbox, which
 * the caller drains. It performs no I/O and reads time only through the given clock, so that the same inputs lead to the same output.
 */
export class CellScheduler {
    readonly #context: CellContext;
    readonly #runs: RunLifecycle;
    readonly #advice: AdvicePlanner;
    readonly #health: HealthMonitor;
    readonly #progress: ProgressMonitor;
    readonly #migrator: RunMigrator;
    readonly #placer: Placer;
    readonly #timer: OccurrenceTimer;
    readonly #pool: WorkerPool;
    readonly #starts: StartDispatcher;
    readonly #lifecycle: JobLifecycle;
    readonly #crashes: CrashMonitor;
    readonly #halls: ClosedHalls;
    readonly #entitlements: SubmissionRate;
    readonly #recovery: HallRecovery;
    readonly #speeds: WorkerSpeeds;
    #needsCycle = false;

    constructor(options: CellOptions) {
        this.#context = new CellContext(options);
        this.#entitlements = new SubmissionRate(organisation => this.#context.queues?.jobRateOf(organisation));
        const silences = new SilenceHistory();
        this.#recovery = new HallRecovery(this.#context);
        this.#halls = new ClosedHalls(this.#context, this.#recovery);
        this.#speeds = new SpeedEstimator(this.#recovery);
        this.#runs = new RunLifecycle(this.#context, {
            stepChanged: step => this.#lifecycle.stepChanged(step),
            jobEnded: job => this.#lifecycle.jobEnded(job),
            runEnded: (run, end) => this.#runEnded(run, end),
            strikeAdded: (task, strike) => this.#crashes.addStrike(task, strike),
        });
        this.#starts = new StartDispatcher(this.#context, this.#runs, () => this.#needsCycle = true);
        this.#crashes = new CrashMonitor(this.#context, task => this.#runs.giveUp(task));
        this.#advice = new AdvicePlanner(this.#context);
        this.#health = new HealthMonitor(this.#context);
        this.#progress = new ProgressMonitor(this.#context);
        this.#migrator = new RunMigrator(this.#context, this.#runs, this.#progress, this.#crashes);
        this.#pool = new WorkerPool({
            context: this.#context,
            runs: this.#runs,
            progress: this.#progress,
            paces: new FillerPaceController(this.#context),
            crashes: this.#crashes,
            silences,
            halls: this.#halls,
            listener: {
                capacityChanged: () => this.#needsCycle = true,
                workerDraining: worker => {
                    this.#needsCycle = true;
                    options.onWorkerDraining?.(worker.id);
                },
                workerGone: worker => {
                    this.#health.forgetWorker(worker);
                    this.#advice.forgetWorker(worker.id);
                    this.#speeds.forgetWorker(worker);
                },
            },
        });
        this.#timer = new OccurrenceTimer(this.#context, occurrence => this.#lifecycle.openOccurrence(occurrence));
        const preemption = new SavedProgressPreemption(this.#context);
        this.#placer = new Placer({
            context: this.#context,
            runs: this.#runs,
            advice: this.#advice,
            health: this.#health,
            migrator: this.#migrator,
            crashes: this.#crashes,
            preemption,
            fairShare: new EntitledFirst(this.#entitlements),
            headroom: new UrgentHeadroom(this.#context, preemption, new RunPreemptor(this.#context, this.#runs)),
        });
        this.#lifecycle = new JobLifecycle(
            this.#context,
            { placer: this.#placer, timer: this.#timer, health: this.#health },
            () => this.#needsCycle = true,
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
    get needsCycle(): boolean {
        return this.#needsCycle;
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
            job.isCommitted = true;
            job.publishedState = job.state;
            this.#lifecycle.openSteps(job);
        }
    }

    configure(configuration: CellConfiguration): void {
        this.#context.configure(configuration);
        this.#needsCycle = true;
    }

    /**
     * Accepts a job, or returns the known one of the same id. The caller may be answered only after the record is committed.
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
            isOwed: this.#entitlements.entitlementOf(job) === Entitlement.Entitled,
            steps: definition.steps.length,
            tasks: definition.steps.reduce((sum, step) => sum + step.taskCount, 0),
        });
        outbox.markJobChanged(job);
        this.#lifecycle.openSteps(job);
        return job;
    }

    /** Whether this owner's configuration names the queue and the organisation of a job. */
    knowsTermsOf({ queue, organisation }: JobDefinition): boolean {
        return this.#context.termsOf(queue, organisation) !== undefined;
    }

    /** Whether all workers that could run a job are in closed data halls. A timed job does not start yet, so that it can wait. */
    isClosedTo({ queue, organisation, timetable }: JobDefinition): boolean {
        const terms = this.#context.termsOf(queue, organisation);
        return terms !== undefined && timetable === undefined && this.#halls.isServiceClosed(terms.service);
    }

    /** Whether a job has a step that never fits its organisation's limit: a gang as a whole, or a single task of another step. */
    exceedsLimit({ organisation, steps }: JobDefinition): boolean {
        const { usage } = this.#context;
        return steps.some(({ size, isGang, taskCount }) =>
            usage.countWhenIdle(organisation, size) < (isGang ? taskCount : 1)
        );
    }

    /** Cancels a job; false when it is unknown. The caller may be answered only after the record is committed. */
    cancel(id: JobId): boolean {
        const job = this.#context.table.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (!job.isOver) {
            this.#context.record({ kind: "cancelled", at: this.#context.wallClock(), job: id });
            this.#context.options.log.log(logEvents.jobCancelled, { job: id });
            this.#context.outbox.markJobChanged(job);
            this.#runs.stopJob(job, "cancelled by the caller");
            this.#lifecycle.jobEnded(job);
        }
        return true;
    }

    /** State of a job as reported to callers; undefined when it is unknown or its acceptance is not committed yet. */
    stateOf(id: JobId): CellJobState | undefined {
        const job = this.#context.table.jobs.get(id);
        return job?.isCommitted === true ? job.publishedState : undefined;
    }

    /** Number of accepted jobs of a queue of which no task has started. */
    countPending(queue: QueueName): number {
        let count = 0;
        for (const job of this.#context.table.jobs.values()) {
            count += job.queue === queue && job.isCommitted && job.publishedState === CellJobState.Queued ? 1 : 0;
        }
        return count;
    }

    /** Applies a complete listing of workers. `unreadable`: listed workers whose entries cannot be parsed. */
    replaceWorkerEntries(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[] = []): void {
        this.#pool.applyListing(entries, unreadable);
    }

    /** Applies changes of workers' entries since the last listing or change. */
    updateWorkerEntries(
        changed: readonly WorkerEntry[],
        gone: readonly WorkerId[],
        unreadable: readonly WorkerId[] = [],
    ): void {
        changed.forEach(entry => this.#pool.applyEntry(entry));
        gone.forEach(id => this.#pool.markUnlisted(id));
        unreadable.forEach(id => this.#pool.markUnreadable(id));
    }

    /**
     * Applies a full poll of a worker. `sentAt`: when the request was sent, by the owner's monotonic clock. `resolvedBefore`: start
     * orders sent before this time whose runs are not reported were not carried out and will not be, unless the worker may have more ends.
     */
    applyPoll(worker: WorkerId, poll: PollResult, sentAt: Milliseconds, resolvedBefore: Milliseconds): void {
        this.#pool.applyPoll(worker, poll, sentAt, resolvedBefore);
    }

    /** Applies ends of runs that a worker reported outside a full poll. */
    applyEnds(worker: WorkerId, ended: PollResult["ended"]): void {
        this.#pool.applyEnds(worker, ended);
    }

    /** Handles a worker that does not answer. `leasesExpireAt`: when its last lease expires, if known. */
    applySilence(
        worker: WorkerId,
        leasesExpireAt: Milliseconds | undefined,
        silence: Silence = unexplainedSilence,
    ): void {
        this.#pool.applySilence(worker, leasesExpireAt, silence);
    }

    /** Handles a worker that restarted under its id. `incarnation`: undefined on platforms that do not name incarnations. */
    applyRestart(worker: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        this.#pool.applyRestart(worker, incarnation);
    }

    /** Handles that a worker with another id answers at this worker's address. */
    applyReplacement(worker: WorkerId): void {
        this.#pool.applyReplacement(worker);
    }

    startAccepted(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.startAccepted(worker, task, run);
    }

    /** Handles a start order that was not carried out and will not be. `refusal`: undefined when it did not reach the worker. */
    startRefused(worker: WorkerId, task: TaskAddress, run: RunNumber, refusal: OrderRefusal | undefined): void {
        this.#starts.startRefused(worker, task, run, refusal);
    }

    /** Applies an answer of the advice service; undefined when the call failed, for the reason in `cause`. */
    applyAdvice(
        step: string,
        asked: readonly WorkerId[],
        answer: AdviceAnswer | undefined,
        cause = "no answer",
    ): void {
        this.#advice.applyAnswer(step, asked, answer, cause);
        this.#needsCycle = true;
    }

    /** Whether the answer to a queued question about a step would still be used. */
    isAdviceWanted(step: string): boolean {
        return this.#advice.isWanted(step);
    }

    /** Drops a queued question about a step. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void {
        this.#advice.drop(step, workers);
    }

    /** Handles that all records of a turn are committed. */
    turnCommitted(turn: TurnOutput): void {
        const { table, workers } = this.#context;
        for (const record of turn.records) {
            if (record.kind === "accepted") {
                const job = table.jobs.get(record.definition.job);
                if (job !== undefined) {
                    job.isCommitted = true;
                }
                this.#needsCycle = true;
            }
            if (record.kind === "worker") {
                const worker = workers.get(record.worker);
                if (worker !== undefined) {
                    worker.isCommitted = true;
                }
                this.#needsCycle = true;
            }
        }
        turn.jobStates.forEach((state, id) => this.#lifecycle.publishState(table.jobs.get(id), state));
    }

    /** Marks a start order as sent, now that its record is committed; false when it must be dropped instead. */
    prepareStart(worker: WorkerId, task: TaskAddress, run: RunNumber): boolean {
        return this.#starts.prepareStart(worker, task, run);
    }

    /** Drops a start order that was never sent. */
    dropStart(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.dropStart(worker, task, run);
    }

    /** Handles everything that depends on the passing of time. Called at regular intervals. */
    tick(): void {
        this.#pool.tick();
        this.#recovery.tick();
        this.#crashes.tick();
        this.#health.tick();
        this.#timer.tick();
        this.#migrator.tick();
        this.#needsCycle = true;
    }

    /** Replaces the set of workers that get no new runs because their VMs are about to undergo upkeep. */
    setClosedWorkers(closed: ReadonlySet<WorkerId>): void {
        for (const worker of this.workers.values()) {
            this.#needsCycle ||= worker.isClosedForUpkeep && !closed.has(worker.id);
            worker.isClosedForUpkeep = closed.has(worker.id);
        }
    }

    /** Replaces the set of data halls in which nothing new is started. */
    setClosedHalls(closures: HallClosures): void {
        this.#needsCycle = this.#halls.replace(closures) || this.#needsCycle;
    }

    /** State of a worker as the upkeep planner needs it. */
    plannedWorkerOf(id: WorkerId): PlannedWorker {
        const runs = [...this.workers.get(id)?.runs.values() ?? []];
        const isNeeded = runs.some(({ task: { step } }) => step.definition.isLasting && !allowsDisruption(step));
        return { runs: runs.length, isNeeded };
    }

    /** Runs a scheduling cycle: starts the waiting tasks that fit. */
    place(): void {
        this.#needsCycle = false;
        this.#placer.place();
    }

    /** Figures about the cell for logs and metrics. */
    summary(): CellSummary & CrashSummary {
        return {
            ...summarizeCell(this.#context, {
                ready: this.#placer.readySteps,
                deferredTasks: this.#placer.deferredTasks,
                headroomOf: service => this.#placer.headroomOf(service),
                closedHalls: this.#halls.halls,
            }),
            ...this.#crashes.summary(),
        };
    }

    /** Returns and clears the output of all inputs so far. */
    drain(): TurnOutput {
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
            this.#speeds.recordCompletion(run, this.#context.now());
            this.#progress.recordCompletion(run);
        }
        if (end !== RunEnd.Done && step.definition.isGang && !step.isDone) {
            this.#starts.stopMembers(step, "another member of its gang ended");
        }
        if (end === RunEnd.Failed) {
            step.notBefore = Math.max(step.notBefore, this.#context.now() + failedRunDelay);
        }
    }
}

const inOrderOfAcceptance = (jobs: Iterable<Job>): Job[] =>
    [...jobs].sort((left, right) => left.acceptedAt - right.acceptedAt);
