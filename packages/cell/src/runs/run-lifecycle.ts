/** Lifecycle of runs. */
import { logEvents, type RunNumber, runNumber, type TaskAddress, type WorkerIncarnation } from "@pebbledale/core";
import {
    adoptedRunTime,
    formerIncarnationOf,
    judge,
    Judgement,
    type Loss,
    observedRunTime,
    strikeOf,
} from "../crashes/index.js";
import {
    type CellContext,
    CellJobState,
    fullPace,
    type Job,
    RunPhase,
    type Step,
    type Strike,
    type Task,
    TaskPhase,
    type TaskRun,
    tasksOf,
    type WorkerState,
} from "../state/index.js";
import { type EndedRun, OrderRefusal, RunEnd, type WorkerRun } from "../task-worker/index.js";

/** Receives the consequences of a run's changes for its task, step and job. */
export interface RunListener {
    /** A task waits again, or a step is complete. */
    stepChanged(step: Step): void;
    /** A job has ended; called again for each later change of one of its runs. */
    jobEnded(job: Job): void;
    /** A run ended or was lost. */
    runEnded(run: TaskRun, end: RunEnd): void;
    /** A worker was lost with a run, for which the task got a strike. */
    strikeAdded(task: Task, strike: Strike): void;
}

/** What an order needs besides its task, run number and worker. */
export interface OrderOptions {
    readonly ticket: string | undefined;
    /** Whether the run is a trial of a suspected task. */
    readonly isTrial: boolean;
}

/** Moves runs from order to confirmation to end or loss, and applies each change to the task, step and job. */
export class RunLifecycle {
    constructor(
        private readonly context: CellContext,
        private readonly listener: RunListener,
    ) {}

    /** Orders a run. The caller has checked that it fits. */
    order(task: Task, run: RunNumber, worker: WorkerState, { ticket, isTrial }: OrderOptions): TaskRun {
        const entry = this.#add(task, run, worker, RunPhase.Ordered, { isTrial });
        const { id, incarnation: life } = worker;
        this.context.record({
            kind: "started",
            worker: id,
            ...(life === undefined ? {} : { life }),
            task: task.address,
            run,
        });
        this.context.outbox.markJobChanged(task.step.job);
        this.context.outbox.command({
            kind: "start",
            worker: worker.id,
            task: task.address,
            run,
            ...(worker.entry === undefined ? {} : { dataHall: worker.entry.dataHall }),
            payload: task.step.job.definition?.payload ?? "",
            checkpoint: task.checkpoint,
            ticket,
        });
        return entry;
    }

    /** Number of a task's next run; the same for all members of a gang. */
    nextRunNumber(step: Step, task: Task): RunNumber {
        if (!step.definition.isGang) {
            return runNumber(task.lastRun + 1);
        }
        return runNumber(Math.max(...step.tasks.map(member => member.lastRun)) + 1);
    }

    /** Restores a run from the journal whose end is unknown. `incarnation`: the one that it was ordered from. */
    recover(task: Task, run: RunNumber, worker: WorkerState, incarnation: WorkerIncarnation | undefined): void {
        const entry = this.#add(task, run, worker, RunPhase.Ordered, { sentAt: -Infinity, isAdopted: true });
        if (incarnation !== undefined && incarnation !== worker.incarnation) {
            entry.formerIncarnation = {
                incarnation,
                observedRunTime: adoptedRunTime(task, run),
                wasLeaving: false,
            };
        }
    }

    /** Adds a run that a worker reports and that this owner did not order. */
    adopt(task: Task, reported: WorkerRun, worker: WorkerState): void {
        task.lastRun = Math.max(task.lastRun, reported.run);
        const run = this.#add(task, reported.run, worker, RunPhase.Running, { isAdopted: true });
        run.confirmedAt = this.context.now();
        run.isReported = true;
        this.#markRunning(task);
        this.updateProgress(run, reported);
    }

    /** Marks a run as confirmed by its worker. */
    confirm(run: TaskRun): void {
        if (run.phase === RunPhase.Ordered) {
            run.phase = RunPhase.Running;
        }
        run.confirmedAt ??= this.context.now();
        this.#markRunning(run.task);
    }

    /** Marks a run as reported by a poll of its worker, which also confirms it. */
    confirmReported(run: TaskRun): void {
        run.isReported = true;
        this.#resolveFormerIncarnation(run);
        this.confirm(run);
    }

    /** Moves a run to the next incarnation of its worker, whose first poll shows whether it has the run. */
    transfer(run: TaskRun, worker: WorkerState): void {
        run.formerIncarnation ??= formerIncarnationOf(run);
        run.worker.release(run);
        run.worker = worker;
        run.confirmedAt = undefined;
        run.progressSamples = undefined;
        worker.allocate(run);
    }

    updateProgress(run: TaskRun, reported: WorkerRun): void {
        if (reported.percent !== run.percent) {
            run.percent = reported.percent;
            run.progressedAt = this.context.now();
            run.firstProgress ??= { percent: run.percent, at: run.progressedAt };
        }
        if (reported.checkpoint !== "") {
            run.checkpoint = reported.checkpoint;
            run.task.updateCheckpoint(reported.checkpoint);
        }
    }

    /** Orders the worker to stop a run, unless it has been ordered to already. */
    stop(run: TaskRun, reason: string): void {
        if (run.stopReason !== undefined) {
            return;
        }
        run.stopReason = reason;
        run.phase = RunPhase.Stopping;
        this.sendStop(run.worker, run.task.address, run.run);
        this.context.options.log.log(logEvents.runStopped, {
            task: run.task.address,
            run: run.run,
            worker: run.worker.id,
            reason,
        });
    }

    /** Sends a stop order, also for runs that are not known here. */
    sendStop(worker: WorkerState, task: TaskAddress, run: RunNumber): void {
        this.context.outbox.command({ kind: "stop", worker: worker.id, task, run });
    }

    stopJob(job: Job, reason: string): void {
        for (const run of runsOf(job)) {
            this.stop(run, reason);
        }
    }

    /** Applies the end of a run as its worker reported it; an end that was applied before is ignored. */
    applyEnd(worker: WorkerState, ended: EndedRun): void {
        const task = this.context.table.taskOf(ended.task);
        const run = worker.runOf(ended.task, ended.run);
        if (run !== undefined) {
            this.#resolveFormerIncarnation(run);
            this.#remove(run);
        }
        if (task === undefined || task.endedRuns.has(ended.run)) {
            return;
        }
        this.#recordEnd(task, ended);
        this.#logEnd(worker, task, ended);
        if (run !== undefined) {
            this.listener.runEnded(run, ended.end);
        }
        this.#runOver(task);
    }

    /** Handles an ordered run that was not started and will not be. */
    markNotStarted(run: TaskRun, refusal: OrderRefusal | undefined): void {
        this.#remove(run);
        const { task } = run;
        this.context.record({ kind: "lost", task: task.address, run: run.run });
        if (refusal === OrderRefusal.OldRun) {
            // The worker knows a later run than this owner does.
            task.lastRun++;
        }
        this.#runOver(task);
    }

    /** Handles a run that can no longer be running and whose end is unknown. */
    lose(run: TaskRun, loss: Loss): void {
        const { reason, cause } = loss;
        const { task } = run;
        const { job } = task.step;
        this.#remove(run);
        const strike = job.isOver ? undefined : strikeOf(run, loss);
        this.context.record({
            kind: "lost",
            task: task.address,
            run: run.run,
            ...(strike === undefined ? {} : { strike }),
        });
        this.context.options.log.log(logEvents.runLost, {
            task: task.address,
            run: run.run,
            worker: run.worker.id,
            reason,
            cause,
            stood: observedRunTime(run),
            isShared: strike?.isShared,
            isAmbiguous: strike?.isAmbiguous,
            strikes: job.strikes.of(task.address).length,
        });
        this.listener.runEnded(run, RunEnd.Lapsed);
        if (strike !== undefined) {
            this.listener.strikeAdded(task, strike);
        }
        if (!job.isOver && judge(job.strikes.of(task.address)) === Judgement.AtFault) {
            this.giveUp(task);
            return;
        }
        this.#runOver(task);
    }

    /** Gives up a task that crashes its workers: its job fails and starts no more runs. */
    giveUp(task: Task): void {
        const { job } = task.step;
        this.context.record({ kind: "given-up", at: this.context.wallClock(), task: task.address });
        this.context.options.log.log(logEvents.taskGivenUp, {
            task: task.address,
            job: job.id,
            crashes: job.strikes.of(task.address).map(({ run, worker, stood }) => ({ run, worker, stood })),
        });
        this.context.outbox.markJobChanged(job);
        this.#runOver(task);
    }

    /** Resolves which incarnation has a run: the current one. */
    #resolveFormerIncarnation(run: TaskRun): void {
        if (run.formerIncarnation === undefined) {
            return;
        }
        this.context.options.log.log(logEvents.commandReachedNextIncarnation, {
            task: run.task.address,
            run: run.run,
            worker: run.worker.id,
            former: run.formerIncarnation.incarnation,
            life: run.worker.incarnation,
        });
        run.formerIncarnation = undefined;
    }

    #recordEnd(task: Task, { task: address, run, end, checkpoint }: EndedRun): void {
        const { step } = task;
        const failures = step.definition.isGang
            ? new Set(step.failedGangRuns).add(run).size
            : task.failures + 1;
        const isFinal = end === RunEnd.Failed
            && !step.definition.isLasting
            && task.phase !== TaskPhase.Done
            && failures >= step.job.terms.attempts;
        this.context.record({
            kind: "ended",
            at: this.context.wallClock(),
            task: address,
            run,
            end,
            checkpoint: end === RunEnd.Done ? "" : checkpoint,
            isFinal,
        });
    }

    #logEnd(worker: WorkerState, task: Task, ended: EndedRun): void {
        this.context.options.log.log(logEvents.runEnded, {
            task: task.address,
            run: ended.run,
            worker: worker.id,
            end: ended.end,
            failures: task.failures,
        });
    }

    #add(
        task: Task,
        run: RunNumber,
        worker: WorkerState,
        phase: RunPhase,
        { sentAt, isAdopted = false, isTrial = false }: Partial<Pick<TaskRun, "sentAt" | "isAdopted" | "isTrial">> = {},
    ): TaskRun {
        const now = this.context.now();
        const entry: TaskRun = {
            task,
            run,
            worker,
            phase,
            sentAt,
            confirmedAt: undefined,
            percent: 0,
            progressedAt: now,
            firstProgress: undefined,
            progressSamples: undefined,
            checkpoint: "",
            pace: fullPace,
            stopReason: undefined,
            isReported: false,
            formerIncarnation: undefined,
            isAdopted,
            isTrial,
        };
        task.runs.push(entry);
        if (task.phase === TaskPhase.Waiting) {
            task.phase = TaskPhase.Active;
        }
        worker.allocate(entry);
        this.context.usage.add(task.step.job.organisation, task.step.definition.size);
        return entry;
    }

    #remove(run: TaskRun): void {
        const { runs, step } = run.task;
        if (run.worker.release(run)) {
            this.context.usage.remove(step.job.organisation, step.definition.size);
        }
        const at = runs.indexOf(run);
        if (at >= 0) {
            runs.splice(at, 1);
        }
    }

    #markRunning(task: Task): void {
        const { job } = task.step;
        if (job.publishedState === CellJobState.Queued) {
            job.publishedState = CellJobState.Running;
            this.context.outbox.markJobChanged(job);
        }
    }

    /** Stops the remaining runs of an ended job. Members of a complete gang end by themselves. */
    #stopRemaining(job: Job): void {
        const isEnding = ({ task: { step } }: TaskRun) => step.definition.isGang && step.isDone;
        runsOf(job).filter(run => !isEnding(run)).forEach(run => this.stop(run, "its job is over"));
    }

    /** Updates the task, step and job after a run is over. */
    #runOver(task: Task): void {
        const { step } = task;
        const { job } = step;
        if (task.phase === TaskPhase.Active && task.runs.length === 0) {
            task.phase = TaskPhase.Waiting;
        }
        if (job.isOver) {
            this.#stopRemaining(job);
            this.listener.jobEnded(job);
            return;
        }
        if (task.phase === TaskPhase.Done && !step.definition.isGang) {
            task.runs.forEach(copy => this.stop(copy, "another copy is done"));
        }
        this.listener.stepChanged(step);
    }
}

/** All runs of a job that have not ended. */
export const runsOf = (job: Job): TaskRun[] => tasksOf(job).flatMap(task => task.runs);
