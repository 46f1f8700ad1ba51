/** The cell's workers: who there is, and when nothing can run there any more. */
import { logEvents, type Milliseconds, type WorkerId, type WorkerIncarnation } from "@pebbledale/core";
import { type CrashMonitor, LossCause, type SilenceHistory } from "../crashes/index.js";
import type { FillerPaceController } from "../pacing/index.js";
import { type CellContext, type Task, tasksOf, WorkerState } from "../state/index.js";
import type { PollResult } from "../task-worker/index.js";
import type { ProgressMonitor } from "../watching/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { leaseMargin, unlistedGracePeriod } from "./constants.js";
import type { RunLifecycle } from "./run-book.js";
import type { Silence, WorkerListener } from "./types.js";
import { WorkerEntryReconciler } from "./worker-entries.js";
import { WorkerIncarnations } from "./worker-lives.js";
import { WorkerPollReconciler } from "./worker-looks.js";

/** What a pool needs. */
export interface WorkerPoolOptions {
    readonly context: CellContext;
    readonly runs: RunLifecycle;
    readonly progress: ProgressMonitor;
    readonly paces: FillerPaceController;
    readonly crashes: CrashMonitor;
    readonly silences: SilenceHistory;
    readonly listener: WorkerListener;
}

/** See the module's comment. */
export class WorkerPool {
    readonly #context: CellContext;
    readonly #runs: RunLifecycle;
    readonly #crashes: CrashMonitor;
    readonly #silences: SilenceHistory;
    readonly #listener: WorkerListener;
    readonly #incarnations: WorkerIncarnations;
    readonly #entries: WorkerEntryReconciler;
    readonly #polls: WorkerPollReconciler;

    constructor({ context, runs, progress, paces, crashes, silences, listener }: WorkerPoolOptions) {
        this.#context = context;
        this.#runs = runs;
        this.#crashes = crashes;
        this.#silences = silences;
        this.#listener = listener;
        this.#incarnations = new WorkerIncarnations(context, runs, crashes, silences, listener);
        this.#entries = new WorkerEntryReconciler(context, this.#incarnations, crashes, listener);
        this.#polls = new WorkerPollReconciler(context, runs, this.#incarnations, progress, paces, crashes, listener);
    }

    /** All workers that are to be asked. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#context.workers;
    }

    /** Takes over the workers of the journal, and the runs there whose ends are not known. */
    recover(): void {
        const { table, workers } = this.#context;
        for (const [id, { address, incarnation: life }] of table.knownWorkers) {
            const worker = new WorkerState(id, address, life);
            worker.isCommitted = true;
            workers.set(id, worker);
        }
        for (const job of table.jobs.values()) {
            tasksOf(job).forEach(task => this.#recoverRuns(task));
        }
    }

    /** See {@link WorkerEntryReconciler.applyListing}. */
    applyListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        this.#entries.applyListing(entries, unreadable);
    }

    /** See {@link WorkerEntryReconciler.applyEntry}. */
    applyEntry(entry: WorkerEntry): void {
        this.#entries.applyEntry(entry);
    }

    /** See {@link WorkerEntryReconciler.markUnreadable}. */
    markUnreadable(id: WorkerId): void {
        this.#entries.markUnreadable(id);
    }

    /** See {@link WorkerEntryReconciler.markUnlisted}. */
    markUnlisted(id: WorkerId): void {
        this.#entries.markUnlisted(id);
    }

    /** See {@link WorkerPollReconciler.applyPoll}. */
    applyPoll(id: WorkerId, poll: PollResult, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        this.#polls.applyPoll(id, poll, sentAt, settledBefore);
    }

    /** See {@link WorkerPollReconciler.applyEnds}. */
    applyEnds(id: WorkerId, ended: PollResult["ended"]): void {
        this.#polls.applyEnds(id, ended);
    }

    /** A worker does not answer. `lapsesAt`: when every lease there is over, if that is known. */
    applySilence(id: WorkerId, lapsesAt: Milliseconds | undefined, { cause, heardAgo }: Silence): void {
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
                // A new owner finds all that fell silent before its time at one moment.
                this.#silences.note(id, worker.entry?.service, worker.silentSince);
            }
            this.#context.options.log.log(logEvents.workerSilent, {
                worker: id,
                cause,
                lapsesAt,
                runs: worker.runs.size,
            });
        }
        worker.leasesExpireAt = lapsesAt ?? worker.leasesExpireAt;
        this.#incarnations.followAddress(worker);
    }

    /** A worker of another id answers where this one was: it is over, with all that ran there. */
    applyReplacement(id: WorkerId): void {
        const worker = this.#context.workers.get(id);
        if (worker !== undefined) {
            this.#incarnations.remove(worker, "another worker answers at its address", LossCause.Crashed);
        }
        this.#crashes.explain(id, true);
        this.#applyPendingEntry(worker?.pendingEntry);
    }

    /** See {@link WorkerIncarnations.applyRestart}. */
    applyRestart(id: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        this.#applyPendingEntry(this.#incarnations.applyRestart(id, incarnation));
        this.#listener.roomChanged();
    }

    /** Looks at what time has brought: leases that are over. */
    tick(): void {
        const now = this.#context.now();
        for (const worker of [...this.#context.workers.values()]) {
            if (worker.silentSince !== undefined && worker.leasesExpireAt !== undefined) {
                if (now > worker.leasesExpireAt + leaseMargin) {
                    this.#expireLeases(worker);
                }
            }
            else if (this.#hasLeft(worker, now)) {
                this.#incarnations.remove(worker, "it left", LossCause.Alive);
            }
        }
    }

    #applyPendingEntry(entry: WorkerEntry | undefined): void {
        if (entry !== undefined) {
            this.applyEntry(entry);
        }
    }

    #recoverRuns(task: Task): void {
        for (const [run, { worker: id, incarnation: life }] of [...task.openRuns]) {
            const worker = this.#context.workers.get(id);
            if (worker === undefined) {
                // The worker was recorded as gone after this run was: the run went with it.
                this.#context.record({ kind: "lost", task: task.address, run });
                continue;
            }
            this.#runs.recover(task, run, worker, life);
        }
    }

    /** Whether a worker that answers is no longer listed and has nothing at work. */
    #hasLeft(worker: WorkerState, now: Milliseconds): boolean {
        return worker.unlistedSince !== undefined
            && worker.silentSince === undefined
            && worker.isClaimed
            && worker.runs.size === 0
            && now - worker.unlistedSince > unlistedGracePeriod;
    }

    /** Every lease at a worker that does not answer is over. */
    #expireLeases(worker: WorkerState): void {
        const isListed = worker.unlistedSince === undefined && worker.entry !== undefined;
        const lost = [...worker.runs.values()];
        this.#context.options.log.log(logEvents.workerLapsed, { worker: worker.id, runs: lost.length });
        const loss = this.#incarnations.lossOf(worker, "every lease at its silent worker is over", LossCause.Silent);
        lost.forEach(run => this.#runs.lose(run, loss));
        worker.leasesExpireAt = undefined;
        // Whatever it says next is compared as if it were new.
        worker.isClaimed = false;
        if (!isListed) {
            this.#incarnations.remove(
                worker,
                "it is neither listed nor heard and its leases are over",
                LossCause.Silent,
            );
        }
    }
}
