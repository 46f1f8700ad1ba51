/** The workers of a cell. */
import { logEvents, type Milliseconds, type WorkerId, type WorkerIncarnation } from "@pebbledale/core";
import { type CrashMonitor, LossCause, type SilenceHistory } from "../crashes/index.js";
import type { ClosedHalls } from "../data-halls/index.js";
import type { ProgressMonitor } from "../monitoring/index.js";
import type { FillerPaceController } from "../pacing/index.js";
import { type CellContext, type Task, tasksOf, WorkerState } from "../state/index.js";
import type { PollResult } from "../task-worker/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { leaseMargin, unlistedGracePeriod } from "./constants.js";
import type { RunLifecycle } from "./run-lifecycle.js";
import type { Silence, WorkerListener } from "./types.js";
import { WorkerEntryReconciler } from "./worker-entry-reconciler.js";
import { WorkerIncarnations } from "./worker-incarnations.js";
import { WorkerPollReconciler } from "./worker-poll-reconciler.js";

/** Components that a worker pool works with. */
export interface WorkerPoolDependencies {
    readonly context: CellContext;
    readonly runs: RunLifecycle;
    readonly progress: ProgressMonitor;
    readonly paces: FillerPaceController;
    readonly crashes: CrashMonitor;
    readonly silences: SilenceHistory;
    readonly halls: ClosedHalls;
    readonly listener: WorkerListener;
}

/** Follows all workers of a cell from their first entry until no run can be left on them. */
export class WorkerPool {
    readonly #context: CellContext;
    readonly #runs: RunLifecycle;
    readonly #crashes: CrashMonitor;
    readonly #silences: SilenceHistory;
    readonly #listener: WorkerListener;
    readonly #incarnations: WorkerIncarnations;
    readonly #entries: WorkerEntryReconciler;
    readonly #polls: WorkerPollReconciler;

    constructor({ context, runs, progress, paces, crashes, silences, halls, listener }: WorkerPoolDependencies) {
        this.#context = context;
        this.#runs = runs;
        this.#crashes = crashes;
        this.#silences = silences;
        this.#listener = listener;
        this.#incarnations = new WorkerIncarnations(context, runs, crashes, silences, listener);
        this.#entries = new WorkerEntryReconciler(context, this.#incarnations, crashes, halls, listener);
        this.#polls = new WorkerPollReconciler(context, runs, this.#incarnations, progress, paces, crashes, listener);
    }

    /** All workers that are to be polled. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#context.workers;
    }

    /** Restores workers from the journal, and their runs whose ends are unknown. */
    recover(): void {
        const { table, workers } = this.#context;
        for (const [id, { address, incarnation }] of table.knownWorkers) {
            const worker = new WorkerState(id, address, incarnation);
            worker.isCommitted = true;
            workers.set(id, worker);
        }
        for (const job of table.jobs.values()) {
            tasksOf(job).forEach(task => this.#recoverRuns(task));
        }
    }

    applyListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        this.#entries.applyListing(entries, unreadable);
    }

    applyEntry(entry: WorkerEntry): void {
        this.#entries.applyEntry(entry);
    }

    markUnreadable(id: WorkerId): void {
        this.#entries.markUnreadable(id);
    }

    markUnlisted(id: WorkerId): void {
        this.#entries.markUnlisted(id);
    }

    applyPoll(id: WorkerId, poll: PollResult, sentAt: Milliseconds, resolvedBefore: Milliseconds): void {
        this.#polls.applyPoll(id, poll, sentAt, resolvedBefore);
    }

    applyEnds(id: WorkerId, ended: PollResult["ended"]): void {
        this.#polls.applyEnds(id, ended);
    }

    /** Handles a worker that does not answer. `leasesExpireAt`: when its last lease expires, if known. */
    applySilence(id: WorkerId, leasesExpireAt: Milliseconds | undefined, { cause, heardAgo }: Silence): void {
        const worker = this.#context.workers.get(id);
        if (worker === undefined) {
            return;
        }
        if (heardAgo !== undefined) {
            worker.markHeard(this.#context.now() - heardAgo);
        }
        if (worker.silentSince === undefined) {
            worker.silentSince = this.#context.now();
            if (worker.lastHeardAt !== undefined) {
                // Without an earlier answer the time of silence is unknown: a new owner notices all silent workers at once.
                this.#silences.record(worker, worker.silentSince);
            }
            this.#context.options.log.log(logEvents.workerSilent, {
                worker: id,
                cause,
                lapsesAt: leasesExpireAt,
                runs: worker.runs.size,
            });
        }
        worker.leasesExpireAt = leasesExpireAt ?? worker.leasesExpireAt;
        this.#incarnations.followAddress(worker);
    }

    /** Handles that a worker with another id answers at this worker's address: this one is gone with all its runs. */
    applyReplacement(id: WorkerId): void {
        const worker = this.#context.workers.get(id);
        if (worker !== undefined) {
            this.#incarnations.remove(worker, "another worker answers at its address", LossCause.Crashed);
        }
        this.#crashes.explain(id, true);
        this.#applyPendingEntry(worker?.pendingEntry);
    }

    applyRestart(id: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        this.#applyPendingEntry(this.#incarnations.applyRestart(id, incarnation));
        this.#listener.capacityChanged();
    }

    /** Expires the leases of silent workers and removes workers that have left. */
    tick(): void {
        const now = this.#context.now();
        for (const worker of [...this.#context.workers.values()]) {
            if (worker.silentSince !== undefined && worker.leasesExpireAt !== undefined) {
                if (now > worker.leasesExpireAt + leaseMargin) {
                    this.#expireLeases(worker);
                }
            }
            else if (this.#hasLeft(worker, now)) {
                this.#incarnations.remove(worker, "left the cell", LossCause.Alive);
            }
        }
    }

    #applyPendingEntry(entry: WorkerEntry | undefined): void {
        if (entry !== undefined) {
            this.applyEntry(entry);
        }
    }

    #recoverRuns(task: Task): void {
        for (const [run, { worker: id, incarnation }] of [...task.openRuns]) {
            const worker = this.#context.workers.get(id);
            if (worker === undefined) {
                // The worker was recorded as gone after this run, so the run is lost.
                this.#context.record({ kind: "lost", task: task.address, run });
                continue;
            }
            this.#runs.recover(task, run, worker, incarnation);
        }
    }

    /** Whether a worker that answers has been unlisted for the grace period and has no runs. */
    #hasLeft(worker: WorkerState, now: Milliseconds): boolean {
        return worker.unlistedSince !== undefined
            && worker.silentSince === undefined
            && worker.isClaimed
            && worker.runs.size === 0
            && now - worker.unlistedSince > unlistedGracePeriod;
    }

    /** Loses all runs of a silent worker, whose leases have expired. */
    #expireLeases(worker: WorkerState): void {
        const isListed = worker.unlistedSince === undefined && worker.entry !== undefined;
        const lost = [...worker.runs.values()];
        this.#context.options.log.log(logEvents.workerLeasesExpired, { worker: worker.id, runs: lost.length });
        const loss = this.#incarnations.lossOf(worker, "all leases of the silent worker expired", LossCause.Silent);
        lost.forEach(run => this.#runs.lose(run, loss));
        worker.leasesExpireAt = undefined;
        // Its next answer is treated like the first one of a new worker.
        worker.isClaimed = false;
        if (!isListed) {
            this.#incarnations.remove(worker, "not listed, silent, and its leases expired", LossCause.Silent);
        }
    }
}
