/** Incarnations of workers that follow each other under one id. */
import { logEvents, type WorkerId, type WorkerIncarnation } from "@pebbledale/core";
import { type CrashMonitor, type Loss, LossCause, type SilenceHistory } from "../crashes/index.js";
import type { CellContext, TaskRun, WorkerState } from "../state/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import type { RunLifecycle } from "./run-lifecycle.js";
import type { WorkerListener } from "./types.js";

/** Decides which incarnation of a worker is the current one, and what happens to the runs of a former one. */
export class WorkerIncarnations {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunLifecycle,
        private readonly crashes: CrashMonitor,
        private readonly silences: SilenceHistory,
        private readonly listener: WorkerListener,
    ) {}

    /**
     * Handles a worker that restarted under its id. Runs that the former incarnation reported are lost. Runs that were ordered but not
     * reported may have been started by either incarnation, or may yet be started by the new one until it has seen a higher token; the
     * first poll under a new link resolves them. Returns the entry that may describe the new incarnation, if one is known.
     */
    applyRestart(id: WorkerId, incarnation: WorkerIncarnation | undefined): WorkerEntry | undefined {
        const former = this.context.workers.get(id);
        if (former === undefined) {
            return undefined;
        }
        if (former.silentSince === undefined) {
            this.silences.record(former, this.context.now());
        }
        const worker = this.#createSuccessor(former, incarnation);
        this.context.workers.set(id, worker);
        this.listener.workerGone(former);
        this.recordWorker(worker);
        const runs = [...former.runs.values()];
        const loss = this.lossOf(former, "the worker restarted", LossCause.Crashed);
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
     * Whether an entry describes the current incarnation. The store may lag behind the worker or be ahead of its answers, so only answers
     * determine which incarnation is current; the entry of a newer one is set aside until that one answers.
     */
    acceptsEntry(worker: WorkerState, entry: WorkerEntry): boolean {
        if (worker.incarnation === undefined || entry.life === undefined || worker.incarnation === entry.life) {
            return true;
        }
        const isFormer = worker.formerIncarnations.includes(entry.life);
        worker.pendingEntry = isFormer ? worker.pendingEntry : entry;
        this.context.options.log.log(logEvents.otherIncarnationListed, {
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

    /** Redirects polls of a silent worker to the address of its pending entry, where an answer shows what happened to it. */
    followAddress(worker: WorkerState): void {
        const { pendingEntry } = worker;
        if (pendingEntry !== undefined && worker.silentSince !== undefined && pendingEntry.address !== worker.address) {
            worker.address = pendingEntry.address;
            this.recordWorker(worker);
        }
    }

    /** Records a worker, so that a later owner polls it before it assumes that nothing runs there. */
    recordWorker({ id, address, incarnation: life }: WorkerState): void {
        this.context.record({ kind: "worker", worker: id, address, ...(life === undefined ? {} : { life }) });
    }

    /** Loss that applies to all runs of a worker. */
    lossOf({ id, entry, runs }: WorkerState, reason: string, cause: LossCause): Loss {
        if (cause === LossCause.Alive) {
            // Counts against no task.
            return { reason, cause, isShared: false, isAmbiguous: false };
        }
        let workers = 0;
        for (const other of this.context.workers.values()) {
            workers += other.entry?.service === entry?.service ? 1 : 0;
        }
        const trials = [...runs.values()].filter(run => run.isTrial);
        const hasSuspects = new Set(trials.map(({ task }) => task.step.job)).size > 1;
        return {
            reason,
            cause,
            isShared: this.silences.isShared(id, workers),
            isAmbiguous: hasSuspects || this.silences.isInSeries(id, workers),
        };
    }

    /** Removes a worker that can have no runs any more; it is no longer polled. */
    remove(worker: WorkerState, reason: string, cause: LossCause): void {
        const loss = this.lossOf(worker, reason, cause);
        [...worker.runs.values()].forEach(run => this.runs.lose(run, loss));
        this.context.workers.delete(worker.id);
        this.listener.workerGone(worker);
        this.context.record({ kind: "worker-gone", worker: worker.id });
        this.context.options.log.log(logEvents.workerGone, { worker: worker.id, reason });
    }

    #createSuccessor(former: WorkerState, incarnation: WorkerIncarnation | undefined): WorkerState {
        const worker = former.createSuccessor(incarnation);
        if (worker.unlistedSince !== undefined) {
            // The new incarnation gets the full grace period to publish its entry.
            worker.unlistedSince = this.context.now();
        }
        return worker;
    }

    /** Loses, abandons or transfers a run of a former incarnation. */
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
