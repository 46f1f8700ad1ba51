/** Polls of workers and the ends that they report. */
import { logEvents, type Milliseconds, type WorkerId } from "@pebbledale/core";
import { type CrashMonitor, LossCause } from "../crashes/index.js";
import type { ProgressMonitor } from "../monitoring/index.js";
import type { FillerPaceController } from "../pacing/index.js";
import { type CellContext, type Task, TaskPhase, type TaskRun, type WorkerState } from "../state/index.js";
import type { PollResult, WorkerRun } from "../task-worker/index.js";
import type { RunLifecycle } from "./run-lifecycle.js";
import type { WorkerListener } from "./types.js";
import type { WorkerIncarnations } from "./worker-incarnations.js";

/** Reconciles the runs that a worker reports with the runs that the owner expects there. */
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
     * Applies a full poll. `sentAt`: when the request was sent, by the owner's monotonic clock. `resolvedBefore`: start orders sent
     * before this time whose runs are not reported were not carried out and will not be, unless the worker may have more ends.
     */
    applyPoll(id: WorkerId, poll: PollResult, sentAt: Milliseconds, resolvedBefore: Milliseconds): void {
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
        this.#compare(worker, poll, sentAt, resolvedBefore);
        if (isFirst) {
            this.context.options.log.log(logEvents.workerFirstAnswered, {
                worker: id,
                life: poll.life,
                running: poll.running.length,
                ended: poll.ended.length,
            });
        }
        this.listener.capacityChanged();
    }

    /** Applies reported ends and acknowledges them. */
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
        this.listener.capacityChanged();
    }

    #markAnswered(worker: WorkerState): void {
        worker.markHeard(this.context.now());
        if (worker.silentSince !== undefined) {
            this.context.options.log.log(logEvents.workerAnswers, { worker: worker.id });
        }
        worker.silentSince = undefined;
        worker.leasesExpireAt = undefined;
    }

    #compare(
        worker: WorkerState,
        { running, clock, mayHaveMoreEnds = false }: PollResult,
        sentAt: Milliseconds,
        resolvedBefore: Milliseconds,
    ): void {
        const reported = new Set<TaskRun>();
        const progress: [TaskRun, WorkerRun][] = [];
        let unknownRuns = 0;
        for (const entry of running) {
            const known = worker.runOf(entry.task, entry.run);
            const run = known ?? this.#adopt(worker, entry);
            if (run === undefined) {
                unknownRuns++;
                this.runs.sendStop(worker, entry.task, entry.run);
                continue;
            }
            reported.add(run);
            progress.push([run, entry]);
            this.runs.confirmReported(run);
            this.runs.updateProgress(run, entry);
            if (known === undefined) {
                this.#stopUnlessWanted(run);
            }
            else if (run.stopReason !== undefined) {
                // An earlier stop order may have been lost.
                this.runs.sendStop(worker, entry.task, entry.run);
            }
            else if (isLeftover(run.task)) {
                // A former owner ended the job and may not have stopped the run.
                this.runs.stop(run, "its job is over");
            }
        }
        worker.unknownRuns = unknownRuns;
        this.progress.recordProgress(worker, progress, clock);
        this.paces.update(worker, progress);
        if (!mayHaveMoreEnds) {
            this.#settleUnreported(worker, reported, sentAt, resolvedBefore);
        }
    }

    /** Concludes what became of the runs that a poll reports neither as running nor as ended. */
    #settleUnreported(
        worker: WorkerState,
        reported: ReadonlySet<TaskRun>,
        sentAt: Milliseconds,
        resolvedBefore: Milliseconds,
    ): void {
        for (const run of [...worker.runs.values()]) {
            if (reported.has(run)) {
                continue;
            }
            if (isResolved(run, resolvedBefore)) {
                this.#resolveUnreported(run);
            }
            else if (run.confirmedAt !== undefined && run.confirmedAt < sentAt) {
                this.runs.lose(
                    run,
                    this.incarnations.lossOf(worker, "the worker no longer has the run", LossCause.Alive),
                );
            }
        }
    }

    /** Handles an ordered run that the worker does not have and will not start. */
    #resolveUnreported(run: TaskRun): void {
        if (run.formerIncarnation !== undefined) {
            this.runs.lose(run, this.incarnations.lossOf(run.worker, "the worker restarted", LossCause.Crashed));
        }
        else {
            this.runs.markNotStarted(run, undefined);
        }
    }

    /** Adds a run of a known task that this owner did not order; undefined when its task is unknown or the run has ended. */
    #adopt(worker: WorkerState, entry: WorkerRun): TaskRun | undefined {
        const task = this.context.table.taskOf(entry.task);
        if (task === undefined || task.endedRuns.has(entry.run)) {
            return undefined;
        }
        this.runs.adopt(task, entry, worker);
        return worker.runOf(entry.task, entry.run);
    }

    #stopUnlessWanted(adopted: TaskRun): void {
        if (!isWanted(adopted.task)) {
            this.runs.stop(adopted, "its job is over or its task is done");
        }
        else if (hasOtherRun(adopted)) {
            this.runs.stop(adopted, "its task was started again after it was taken for lost");
        }
    }
}

/**
 * Whether a poll that does not report a run proves that the run was not started and will not be. An order to a former incarnation
 * precedes the link to the current one even where the clock shows the same time for both; otherwise its task would wait forever.
 */
const isResolved = (
    { confirmedAt, sentAt, formerIncarnation }: TaskRun,
    resolvedBefore: Milliseconds,
): boolean => {
    const isSent = confirmedAt === undefined && sentAt !== undefined;
    return isSent && (formerIncarnation === undefined ? sentAt < resolvedBefore : resolvedBefore > -Infinity);
};

/** Whether a task's job has ended and the task will not end by itself, as members of a complete gang do. */
const isLeftover = ({ step }: Task): boolean => step.job.isOver && !(step.definition.isGang && step.isDone);

/** Whether a task that may not run twice has another run, which is not being stopped. */
const hasOtherRun = (run: TaskRun): boolean =>
    !run.task.step.definition.allowsCopies
    && run.task.runs.some(other => other !== run && other.stopReason === undefined);

/** Whether a task should have a run. */
const isWanted = (task: Task): boolean =>
    !task.step.job.isOver && task.phase !== TaskPhase.Done && task.phase !== TaskPhase.Failed;
