/** Polls of workers and the ends that they report. */
import { logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { type CrashWatch, LossCause } from "../crashes/index.js";
import type { PaceKeeper } from "../pacing/index.js";
import { type CellContext, type Task, TaskPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { Look, WorkerRun } from "../task-worker/index.js";
import type { ProgressWatch } from "../watching/index.js";
import type { RunBook } from "./run-book.js";
import type { WorkerListener } from "./types.js";
import type { WorkerLives } from "./worker-lives.js";

/** Reconciles the runs that a worker reports with the runs that the owner expects there. */
export class WorkerLooks {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunBook,
        private readonly lives: WorkerLives,
        private readonly progress: ProgressWatch,
        private readonly paces: PaceKeeper,
        private readonly crashes: CrashWatch,
        private readonly listener: WorkerListener,
    ) {}

    /**
     * Applies a full poll. `sentAt`: when the request was sent, by the owner's monotonic clock. `settledBefore`: start orders sent
     * before this time whose runs are not reported were not carried out and will not be.
     */
    takeLook(id: WorkerId, look: Look, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        const worker = this.context.workers.get(id);
        if (worker === undefined) {
            return;
        }
        if (worker.life === undefined && look.life !== undefined) {
            worker.life = look.life;
            this.lives.record(worker);
        }
        const isFirst = !worker.isClaimed;
        worker.isClaimed = true;
        this.crashes.noteAnswer(id, worker.life);
        this.#noteAnswer(worker);
        this.takeEnds(id, look.ended);
        this.#compare(worker, look, sentAt, settledBefore);
        if (isFirst) {
            this.context.options.log.log(logEvents.workerSeen, {
                worker: id,
                life: look.life,
                running: look.running.length,
                ended: look.ended.length,
            });
        }
        this.listener.roomChanged();
    }

    /** Applies reported ends and acknowledges them. */
    takeEnds(id: WorkerId, ended: Look["ended"]): void {
        const worker = this.context.workers.get(id);
        if (worker === undefined || ended.length === 0) {
            return;
        }
        worker.noteHeard(this.context.now());
        for (const end of ended) {
            this.runs.takeEnd(worker, end);
            worker.takenThrough = Math.max(worker.takenThrough, end.number);
        }
        this.context.outbox.acknowledge(worker, worker.takenThrough);
        this.listener.roomChanged();
    }

    #noteAnswer(worker: WorkerState): void {
        worker.noteHeard(this.context.now());
        if (worker.silentSince !== undefined) {
            this.context.options.log.log(logEvents.workerAnswers, { worker: worker.id });
        }
        worker.silentSince = undefined;
        worker.lapsesAt = undefined;
    }

    #compare(
        worker: WorkerState,
        { running, clock }: Look,
        sentAt: Milliseconds,
        settledBefore: Milliseconds,
    ): void {
        const seen = new Set<TaskRun>();
        const progress: [TaskRun, WorkerRun][] = [];
        let strangers = 0;
        for (const entry of running) {
            const run = worker.runOf(entry.task, entry.run) ?? this.#adopt(worker, entry);
            if (run === undefined) {
                strangers++;
                this.runs.sendStop(worker, entry.task, entry.run);
                continue;
            }
            seen.add(run);
            progress.push([run, entry]);
            this.runs.noteShown(run);
            this.runs.noteProgress(run, entry);
            if (run.stopReason !== undefined) {
                // An earlier stop order may have been lost.
                this.runs.sendStop(worker, entry.task, entry.run);
            }
            else if (isLeftOver(run.task)) {
                // A former owner ended the job and may not have stopped the run.
                this.runs.stop(run, "its job is over");
            }
        }
        worker.strangers = strangers;
        this.progress.note(worker, progress, clock);
        this.paces.note(worker, progress);
        for (const run of [...worker.runs.values()]) {
            if (seen.has(run)) {
                continue;
            }
            if (isSettled(run, settledBefore)) {
                this.#settleUnseen(run);
            }
            else if (run.confirmedAt !== undefined && run.confirmedAt < sentAt) {
                this.runs.lose(run, {
                    reason: "the worker no longer has the run",
                    cause: LossCause.Alive,
                    isShared: false,
                });
            }
        }
    }

    /** Handles an ordered run that the worker does not have and will not start. */
    #settleUnseen(run: TaskRun): void {
        if (run.formerLife !== undefined) {
            this.runs.lose(run, this.lives.lossOf(run.worker, "the worker restarted", LossCause.Crashed));
        }
        else {
            this.runs.notStarted(run, undefined);
        }
    }

    /** Adds a run of a known task that this owner did not order; undefined when its task is unknown or the run has ended. */
    #adopt(worker: WorkerState, entry: WorkerRun): TaskRun | undefined {
        const task = this.context.table.taskOf(entry.task);
        if (task === undefined || task.endedRuns.has(entry.run)) {
            return undefined;
        }
        this.runs.adopt(task, entry, worker);
        const run = worker.runOf(entry.task, entry.run);
        if (run !== undefined && !isWanted(task)) {
            this.runs.stop(run, "its job is over or its task is done");
        }
        return run;
    }
}

/**
 * Whether a poll that does not report a run proves that the run was not started and will not be. An order to a former incarnation
 * precedes the link to the current one even where the clock shows the same time for both; otherwise its task would wait forever.
 */
const isSettled = ({ confirmedAt, sentAt, formerLife }: TaskRun, settledBefore: Milliseconds): boolean => {
    const isSent = confirmedAt === undefined && sentAt !== undefined;
    return isSent && (formerLife === undefined ? sentAt < settledBefore : settledBefore > -Infinity);
};

/** Whether a task's job has ended and the task will not end by itself, as members of a complete gang do. */
const isLeftOver = ({ step }: Task): boolean => step.job.isOver && !(step.definition.isGang && step.isDone);

/** Whether a task should have a run. */
const isWanted = (task: Task): boolean =>
    !task.step.job.isOver && task.phase !== TaskPhase.Done && task.phase !== TaskPhase.Failed;
