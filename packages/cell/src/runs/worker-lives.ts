/** The lives of workers that follow each other under one id: which one is the present one, and what becomes of what a former one had. */
import { logEvents, type WorkerId, type WorkerIncarnation } from "@pebbledale/core";
import { type CrashMonitor, LossCause, type SilenceHistory } from "../crashes/index.js";
import type { CellContext, TaskRun, WorkerState } from "../state/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import type { Loss, RunLifecycle } from "./run-book.js";
import type { WorkerListener } from "./types.js";

/** See the module's comment. */
export class WorkerIncarnations {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly crashes: CrashMonitor,
        private readonly silences: SilenceHistory,
        private readonly listener: WorkerListener,
    ) {}

    /**
     * A worker was started again under its id: another life of it answers. All that its former life has shown is over. What was ordered
     * and not shown yet may be carried out by either, and by the new one later, until that has seen a higher token: the first look under a
     * new link tells. Returns what may describe the new life, as far as it is known.
     */
    applyRestart(id: WorkerId, incarnation: WorkerIncarnation | undefined): WorkerEntry | undefined {
        const former = this.context.workers.get(id);
        if (former === undefined) {
            return undefined;
        }
        if (former.silentSince === undefined) {
            this.silences.note(id, former.entry?.service, this.context.now());
        }
        const worker = this.#createSuccessor(former, incarnation);
        this.context.workers.set(id, worker);
        this.listener.workerGone(former);
        this.recordWorker(worker);
        const runs = [...former.runs.values()];
        const loss = this.lossOf(former, "its worker was started again", LossCause.Crashed);
        runs.forEach(run => this.#handOver(run, worker, loss));
        this.crashes.explain(id, true);
        this.context.options.log.log(logEvents.workerRestarted, {
            worker: id,
            former: former.incarnation,
            life: incarnation,
            runs: runs.length,
            unsettled: worker.runs.size,
        });
        return former.pendingEntry ?? former.entryFor(incarnation);
    }

    /**
     * Whether an entry describes the life that answers. The store may be behind the worker, or ahead of what was heard of it, so only
     * answers tell which life is the present one; the entry of another waits until that one answers.
     */
    acceptsEntry(worker: WorkerState, entry: WorkerEntry): boolean {
        if (worker.incarnation === undefined || entry.life === undefined || worker.incarnation === entry.life) {
            return true;
        }
        const isFormer = worker.formerIncarnations.includes(entry.life);
        worker.pendingEntry = isFormer ? worker.pendingEntry : entry;
        this.context.options.log.log(logEvents.workerListedAnew, {
            worker: entry.worker,
            life: worker.incarnation,
            listed: entry.life,
            isFormer,
            address: entry.address,
            runs: worker.runs.size,
        });
        this.followAddress(worker);
        return false;
    }

    /** A worker that is silent and listed at another address as another life is asked there: whoever answers tells what became of it. */
    followAddress(worker: WorkerState): void {
        const { pendingEntry: nextEntry } = worker;
        if (nextEntry !== undefined && worker.silentSince !== undefined && nextEntry.address !== worker.address) {
            worker.address = nextEntry.address;
            this.recordWorker(worker);
        }
    }

    /** Has a later owner ask a worker before it trusts that nothing runs there. */
    recordWorker({ id, address, incarnation: life }: WorkerState): void {
        this.context.record({ kind: "worker", worker: id, address, ...(life === undefined ? {} : { life }) });
    }

    /** What became of a worker with all that runs there: worked out once for all of them. */
    lossOf({ id, entry }: WorkerState, reason: string, cause: LossCause): Loss {
        let workers = 0;
        for (const other of this.context.workers.values()) {
            workers += other.entry?.service === entry?.service ? 1 : 0;
        }
        return { reason, cause, isShared: this.silences.isShared(id, workers) };
    }

    /** Nothing of a worker can run any more, and none of its lives is asked. */
    remove(worker: WorkerState, reason: string, cause: LossCause): void {
        const loss = this.lossOf(worker, reason, cause);
        [...worker.runs.values()].forEach(run => this.runs.lose(run, loss));
        this.context.workers.delete(worker.id);
        this.listener.workerGone(worker);
        this.context.record({ kind: "worker-gone", worker: worker.id });
        this.context.options.log.log(logEvents.workerGone, { worker: worker.id, reason });
    }

    #createSuccessor(former: WorkerState, life: WorkerIncarnation | undefined): WorkerState {
        const worker = former.createSuccessor(life);
        if (worker.unlistedSince !== undefined) {
            // It may come to be listed as soon as any worker that starts.
            worker.unlistedSince = this.context.now();
        }
        return worker;
    }

    /** What becomes of a run whose worker was started again. */
    #handOver(run: TaskRun, worker: WorkerState, loss: Loss): void {
        if (run.isReported) {
            this.runs.lose(run, loss);
        }
        else if (run.sentAt === undefined) {
            this.runs.markNotStarted(run, undefined);
        }
        else {
            this.runs.transfer(run, worker);
        }
    }
}
