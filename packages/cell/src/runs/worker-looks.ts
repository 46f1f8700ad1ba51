/** What workers say of their runs, compared with what is thought to run there. */
import { logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { type CrashWatch, LossCause } from "../crashes/index.js";
import type { PaceKeeper } from "../pacing/index.js";
import { type CellContext, type Task, TaskPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { Look, WorkerRun } from "../task-worker/index.js";
import type { ProgressWatch } from "../watching/index.js";
import type { RunBook } from "./run-book.js";
import type { WorkerListener } from "./types.js";
import type { WorkerLives } from "./worker-lives.js";

/** See the module's comment. */
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
     * Takes in a whole look. `sentAt`: when it was asked for, by the owner's monotonic clock. `settledBefore`: orders
     * from before this moment that it does not show were not carried out and will not be.
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

    /** Takes in ends that a worker lists. */
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

    /** Compares what a worker has with what is thought to run there. */
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
                // The first order to stop may have been lost.
                this.runs.sendStop(worker, entry.task, entry.run);
            }
            else if (isLeftOver(run.task)) {
                // A former owner cancelled its job; whether it had the run stopped is not known.
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
                this.runs.lose(run, { reason: "its worker no longer has it", cause: LossCause.Alive, isShared: false });
            }
        }
    }

    /** A run that was ordered is not there and will not be. */
    #settleUnseen(run: TaskRun): void {
        if (run.formerLife !== undefined) {
            this.runs.lose(run, this.lives.lossOf(run.worker, "its worker was started again", LossCause.Crashed));
        }
        else {
            this.runs.notStarted(run, undefined);
        }
    }

    /** Takes over a run of a task that is known; undefined when it is not. */
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
 * Whether a look that does not show a run proves that it is not there and will not be. What was ordered of a former life was so before
 * the link to the present one, also where a clock shows the same moment for both: else its task would wait for ever.
 */
const isSettled = ({ confirmedAt, sentAt, formerLife }: TaskRun, settledBefore: Milliseconds): boolean => {
    const isSent = confirmedAt === undefined && sentAt !== undefined;
    return isSent && (formerLife === undefined ? sentAt < settledBefore : settledBefore > -Infinity);
};

/** Whether a task's job is over and it will not end by itself, as the members of a gang that is done do. */
const isLeftOver = ({ step }: Task): boolean => step.job.isOver && !(step.definition.isGang && step.isDone);

/** Whether a task is to be at work. */
const isWanted = (task: Task): boolean =>
    !task.step.job.isOver && task.phase !== TaskPhase.Done && task.phase !== TaskPhase.Failed;
