/**
 * Decisions of a cell's owner.
 *
 * Each input changes the state and leaves records, orders and questions in an outbox, which the caller drains. The
 * class reads time only through the clock it is given and reaches nothing outside.
 */
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
import { UrgentHeadroom } from "../headroom/index.js";
import { allowsDisruption, RunMigrator } from "../moving/index.js";
import { FillerPaceController } from "../pacing/index.js";
import { Placer } from "../placing/index.js";
import { RunLifecycle, type Silence, WorkerPool } from "../runs/index.js";
import { EntitledFirst, Entitlement, SubmissionRate } from "../shares/index.js";
import { SpeedEstimator, type WorkerSpeeds } from "../speeds/index.js";
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
import { HealthMonitor, ProgressMonitor } from "../watching/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { RunPreemptor, SavedProgressPreemption } from "../yielding/index.js";
import { type CellSummary, summarizeCell } from "./cell-summary.js";
import { failedRunDelay } from "./constants.js";
import { JobLifecycle } from "./job-flow.js";
import { StartDispatcher } from "./start-desk.js";
import { OccurrenceTimer } from "./timetable-watch.js";

const unexplainedSilence: Silence = { cause: "no answer" };

/** See the module's comment. */
export class CellScheduler {
    readonly #context: CellContext;
    readonly #runs: RunLifecycle;
    readonly #advice: AdvicePlanner;
    readonly #health: HealthMonitor;
    readonly #progress: ProgressMonitor;
    readonly #mover: RunMigrator;
    readonly #placer: Placer;
    readonly #timer: OccurrenceTimer;
    readonly #pool: WorkerPool;
    readonly #starts: StartDispatcher;
    readonly #lifecycle: JobLifecycle;
    readonly #crashes: CrashMonitor;
    readonly #entitlements: SubmissionRate;
    readonly #speeds: WorkerSpeeds = new SpeedEstimator();
    #needsCycle = false;

    constructor(options: CellOptions) {
        this.#context = new CellContext(options);
        this.#entitlements = new SubmissionRate(organisation => this.#context.queues?.jobRateOf(organisation));
        const silences = new SilenceHistory();
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
        this.#mover = new RunMigrator(this.#context, this.#runs, this.#progress, this.#crashes);
        this.#pool = new WorkerPool({
            context: this.#context,
            runs: this.#runs,
            progress: this.#progress,
            paces: new FillerPaceController(this.#context),
            crashes: this.#crashes,
            silences,
            listener: {
                roomChanged: () => this.#needsCycle = true,
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
        const yields = new SavedProgressPreemption(this.#context);
        this.#placer = new Placer({
            context: this.#context,
            runs: this.#runs,
            advice: this.#advice,
            health: this.#health,
            migrator: this.#mover,
            crashes: this.#crashes,
            preemption: yields,
            fairShare: new EntitledFirst(this.#entitlements),
            headroom: new UrgentHeadroom(this.#context, yields, new RunPreemptor(this.#context, this.#runs)),
        });
        this.#lifecycle = new JobLifecycle(
            this.#context,
            { placer: this.#placer, timer: this.#timer, health: this.#health },
            () => this.#needsCycle = true,
        );
    }

    /** All workers that are to be asked. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#pool.workers;
    }

    /** All jobs that are known. */
    get jobs(): ReadonlyMap<JobId, Job> {
        return this.#context.table.jobs;
    }

    /** Whether there is a configuration. */
    get isConfigured(): boolean {
        return this.#context.queues !== undefined;
    }

    /** Whether a pass over what waits may place something. */
    get needsCycle(): boolean {
        return this.#needsCycle;
    }

    /** Takes over what the journal holds. Called once, before any other input. */
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

    /** Takes a newer configuration. */
    configure(configuration: CellConfiguration): void {
        this.#context.configure(configuration);
        this.#needsCycle = true;
    }

    /**
     * Takes a job, which is known from then on; its caller is told once the record is kept. Undefined when the
     * configuration that this owner knows does not name its queue or its organisation.
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
        outbox.markJobChanged(job.id);
        this.#lifecycle.openSteps(job);
        return job;
    }

    /** Whether the configuration that this owner knows names the queue and the organisation of a job. */
    knowsTermsOf({ queue, organisation }: JobDefinition): boolean {
        return this.#context.termsOf(queue, organisation) !== undefined;
    }

    /** Whether a job has a step that its organisation's limit can never hold: a gang as a whole, of other steps one task. */
    exceedsLimit({ organisation, steps }: JobDefinition): boolean {
        const { usage } = this.#context;
        return steps.some(({ size, isGang, taskCount }) =>
            usage.countWhenIdle(organisation, size) < (isGang ? taskCount : 1)
        );
    }

    /** Cancels a job; false when it is not known. Its caller is told once the record is kept. */
    cancel(id: JobId): boolean {
        const job = this.#context.table.jobs.get(id);
        if (job === undefined) {
            return false;
        }
        if (!job.isOver) {
            this.#context.record({ kind: "cancelled", at: this.#context.wallClock(), job: id });
            this.#context.options.log.log(logEvents.jobCancelled, { job: id });
            this.#context.outbox.markJobChanged(id);
            this.#runs.stopJob(job, "its caller cancelled the job");
            this.#lifecycle.jobEnded(job);
        }
        return true;
    }

    /** The state of a job that its caller is told; undefined when it is not known. */
    stateOf(id: JobId): CellJobState | undefined {
        const job = this.#context.table.jobs.get(id);
        return job?.isCommitted === true ? job.publishedState : undefined;
    }

    /** Accepted jobs of a queue none of whose tasks has begun. */
    countPending(queue: QueueName): number {
        let count = 0;
        for (const job of this.#context.table.jobs.values()) {
            count += job.queue === queue && job.isCommitted && job.publishedState === CellJobState.Queued ? 1 : 0;
        }
        return count;
    }

    /** Takes in all entries of workers. `unreadable`: workers that are listed by entries that cannot be read. */
    replaceWorkerEntries(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[] = []): void {
        this.#pool.applyListing(entries, unreadable);
    }

    /** Takes in changes of workers' entries. */
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
     * Takes in a whole look at a worker. `sentAt`: when it was asked for, by the owner's monotonic clock.
     * `settledBefore`: orders from before this moment that it does not show were not carried out and will not be.
     */
    applyPoll(worker: WorkerId, poll: PollResult, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        this.#pool.applyPoll(worker, poll, sentAt, settledBefore);
    }

    /** Takes in ends that a worker lists. */
    applyEnds(worker: WorkerId, ended: PollResult["ended"]): void {
        this.#pool.applyEnds(worker, ended);
    }

    /** A worker does not answer. `lapsesAt`: when every lease there is over, if that is known. */
    applySilence(worker: WorkerId, lapsesAt: Milliseconds | undefined, silence: Silence = unexplainedSilence): void {
        this.#pool.applySilence(worker, lapsesAt, silence);
    }

    /** A worker was started again under its id. `life`: undefined where lives have no names. */
    applyRestart(worker: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        this.#pool.applyRestart(worker, incarnation);
    }

    /** A worker of another id answers at its address. */
    applyReplacement(worker: WorkerId): void {
        this.#pool.applyReplacement(worker);
    }

    /** See {@link StartDispatcher.startAccepted}. */
    startAccepted(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.startAccepted(worker, task, run);
    }

    /** See {@link StartDispatcher.startRefused}. */
    startRefused(worker: WorkerId, task: TaskAddress, run: RunNumber, refusal: OrderRefusal | undefined): void {
        this.#starts.startRefused(worker, task, run, refusal);
    }

    /** Takes in an answer of the advice service; undefined when there was none. */
    applyAdvice(
        step: string,
        asked: readonly WorkerId[],
        answer: AdviceAnswer | undefined,
        cause = "no answer",
    ): void {
        this.#advice.applyAnswer(step, asked, answer, cause);
        this.#needsCycle = true;
    }

    /** Whether a question that waits to be asked is still of use. */
    isAdviceWanted(step: string): boolean {
        return this.#advice.isWanted(step);
    }

    /** A question about workers is not asked: its answer would be of no use. */
    dropAdvice(step: string, workers: readonly WorkerId[]): void {
        this.#advice.drop(step, workers);
    }

    /** The records of a step are kept. */
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
        turn.changedJobs.forEach(id => this.#lifecycle.publishState(table.jobs.get(id)));
    }

    /** See {@link StartDispatcher.prepareStart}. */
    prepareStart(worker: WorkerId, task: TaskAddress, run: RunNumber): boolean {
        return this.#starts.prepareStart(worker, task, run);
    }

    /** See {@link StartDispatcher.dropStart}. */
    dropStart(worker: WorkerId, task: TaskAddress, run: RunNumber): void {
        this.#starts.dropStart(worker, task, run);
    }

    /** Looks at what time has brought. */
    tick(): void {
        this.#pool.tick();
        this.#crashes.tick();
        this.#health.tick();
        this.#timer.tick();
        this.#mover.tick();
        this.#needsCycle = true;
    }

    /** Workers that take nothing new, as their VMs are about to have their upkeep. */
    setClosedWorkers(closed: ReadonlySet<WorkerId>): void {
        for (const worker of this.workers.values()) {
            this.#needsCycle ||= worker.isClosedForUpkeep && !closed.has(worker.id);
            worker.isClosedForUpkeep = closed.has(worker.id);
        }
    }

    /** What is known of a worker, for the planner of upkeep. */
    plannedWorkerOf(id: WorkerId): PlannedWorker {
        const runs = [...this.workers.get(id)?.runs.values() ?? []];
        const holdsNeeded = runs.some(({ task: { step } }) => step.definition.isLasting && !allowsDisruption(step));
        return { runs: runs.length, isNeeded: holdsNeeded };
    }

    /** Places what fits. */
    place(): void {
        this.#needsCycle = false;
        this.#placer.place();
    }

    /** How the cell stands, in figures. */
    summary(): CellSummary & CrashSummary {
        return {
            ...summarizeCell(
                this.#context,
                this.#placer.readySteps,
                this.#placer.deferredTasks,
                service => this.#placer.headroomOf(service),
            ),
            ...this.#crashes.summary(),
        };
    }

    /** Takes out what the inputs so far led to. */
    drain(): TurnOutput {
        return this.#context.outbox.drain();
    }

    /** Whether the inputs so far led to anything. */
    get hasOutput(): boolean {
        return !this.#context.outbox.isEmpty;
    }

    /** The whole state, in a form that JSON holds. */
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
            step.notBefore = Math.max(step.notBefore, this.#context.now() + failedRunDelay);
        }
    }
}

const inOrderOfAcceptance = (jobs: Iterable<Job>): Job[] =>
    [...jobs].sort((left, right) => left.acceptedAt - right.acceptedAt);
