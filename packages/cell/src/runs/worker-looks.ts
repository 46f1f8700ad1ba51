/** What workers say of their runs, compared with what is thought to run there. */
import { logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { type CrashMonitor, LossCause } from "../crashes/index.js";
import type { FillerPaceController } from "../pacing/index.js";
import { type CellContext, type Task, TaskPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { PollResult, WorkerRun } from "../task-worker/index.js";
import type { ProgressMonitor } from "../watching/index.js";
import type { RunLifecycle } from "./run-book.js";
import type { WorkerListener } from "./types.js";
import type { WorkerIncarnations } from "./worker-lives.js";

/** See the module's comment. */
export class WorkerPollReconciler {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly incarnations: WorkerIncarnations,
        private readonly progress: ProgressMonitor,
        private readonly paces: FillerPaceController,
        private readonly crashes: CrashMonitor,
        private readonly listener: WorkerListener,
    ) {}

    /**
     * Takes in a whole look. `sentAt`: when it was asked for, by the owner's monotonic clock. `settledBefore`: orders
     * from before this moment that it does not show were not carried out and will not be.
     */
    applyPoll(id: WorkerId, poll: PollResult, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        const worker = this.context.workers.get(id);
        if (worker === undefined) {
            return;
        }
        if (worker.incarnation === undefined && poll.life !== undefined) {
            worker.incarnation = poll.life;
            this.incarnations.recordWorker(worker);
        }
        const isFirst = !worker.isClaimed;
        worker.isClaimed = true;
        this.crashes.noteAnswer(id, worker.incarnation);
        this.#markAnswered(worker);
        this.applyEnds(id, poll.ended);
        this.#compare(worker, poll, sentAt, settledBefore);
        if (isFirst) {
            this.context.options.log.log(logEvents.workerSeen, {
                worker: id,
                life: poll.life,
                running: poll.running.length,
                ended: poll.ended.length,
            });
        }
        this.listener.roomChanged();
    }

    /** Takes in ends that a worker lists. */
    applyEnds(id: WorkerId, ended: PollResult["ended"]): void {
        const worker = this.context.workers.get(id);
        if (worker === undefined || ended.length === 0) {
            return;
        }
        worker.markHeard(this.context.now());
        for (const end of ended) {
            this.runs.applyEnd(worker, end);
            worker.endsAppliedThrough = Math.max(worker.endsAppliedThrough, end.number);
        }
        this.context.outbox.acknowledge(worker, worker.endsAppliedThrough);
        this.listener.roomChanged();
    }

    #markAnswered(worker: WorkerState): void {
        worker.markHeard(this.context.now());
        if (worker.silentSince !== undefined) {
            this.context.options.log.log(logEvents.workerAnswers, { worker: worker.id });
        }
        worker.silentSince = undefined;
        worker.leasesExpireAt = undefined;
    }

    /** Compares what a worker has with what is thought to run there. */
    #compare(
        worker: WorkerState,
        { running, clock }: PollResult,
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
            this.runs.confirmReported(run);
            this.runs.updateProgress(run, entry);
            if (run.stopReason !== undefined) {
                // The first order to stop may have been lost.
                this.runs.sendStop(worker, entry.task, entry.run);
            }
            else if (isLeftover(run.task)) {
                // A former owner cancelled its job; whether it had the run stopped is not known.
                this.runs.stop(run, "its job is over");
            }
        }
        worker.unknownRuns = strangers;
        this.progress.note(worker, progress, clock);
        this.paces.update(worker, progress);
        for (const run of [...worker.runs.values()]) {
            if (seen.has(run)) {
                continue;
            }
            if (isSettled(run, settledBefore)) {
                this.#settleUnreported(run);
            }
            else if (run.confirmedAt !== undefined && run.confirmedAt < sentAt) {
                this.runs.lose(run, { reason: "its worker no longer has it", cause: LossCause.Alive, isShared: false });
            }
        }
    }

    /** A run that was ordered is not there and will not be. */
    #settleUnreported(run: TaskRun): void {
        if (run.formerIncarnation !== undefined) {
            this.runs.lose(
                run,
                this.incarnations.lossOf(run.worker, "its worker was started again", LossCause.Crashed),
            );
        }
        else {
            this.runs.markNotStarted(run, undefined);
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
const isSettled = (
    { confirmedAt, sentAt, formerIncarnation: formerLife }: TaskRun,
    settledBefore: Milliseconds,
): boolean => {
    const isSent = confirmedAt === undefined && sentAt !== undefined;
    return isSent && (formerLife === undefined ? sentAt < settledBefore : settledBefore > -Infinity);
};

/** Whether a task's job is over and it will not end by itself, as the members of a gang that is done do. */
const isLeftover = ({ step }: Task): boolean => step.job.isOver && !(step.definition.isGang && step.isDone);

/** Whether a task is to be at work. */
const isWanted = (task: Task): boolean =>
    !task.step.job.isOver && task.phase !== TaskPhase.Done && task.phase !== TaskPhase.Failed;
