/** The workers of a cell. */
import { logEvents, type Milliseconds, type WorkerId, type WorkerLife } from "@pebbledale/core";
import { type CrashWatch, LossCause, type SilenceLog } from "../crashes/index.js";
import type { PaceKeeper } from "../pacing/index.js";
import { type CellContext, type Task, tasksOf, WorkerState } from "../state/index.js";
import type { Look } from "../task-worker/index.js";
import type { ProgressWatch } from "../watching/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { leaseMargin, unlistedGrace } from "./constants.js";
import type { RunBook } from "./run-book.js";
import type { Silence, WorkerListener } from "./types.js";
import { WorkerEntries } from "./worker-entries.js";
import { WorkerLives } from "./worker-lives.js";
import { WorkerLooks } from "./worker-looks.js";

/** Components that a worker pool works with. */
export interface WorkerPoolOptions {
    readonly context: CellContext;
    readonly runs: RunBook;
    readonly progress: ProgressWatch;
    readonly paces: PaceKeeper;
    readonly crashes: CrashWatch;
    readonly silences: SilenceLog;
    readonly listener: WorkerListener;
}

/** Follows all workers of a cell from their first entry until no run can be left on them. */
export class WorkerPool {
    readonly #context: CellContext;
    readonly #runs: RunBook;
    readonly #crashes: CrashWatch;
    readonly #silences: SilenceLog;
    readonly #listener: WorkerListener;
    readonly #lives: WorkerLives;
    readonly #entries: WorkerEntries;
    readonly #looks: WorkerLooks;

    constructor({ context, runs, progress, paces, crashes, silences, listener }: WorkerPoolOptions) {
        this.#context = context;
        this.#runs = runs;
        this.#crashes = crashes;
        this.#silences = silences;
        this.#listener = listener;
        this.#lives = new WorkerLives(context, runs, crashes, silences, listener);
        this.#entries = new WorkerEntries(context, this.#lives, crashes, listener);
        this.#looks = new WorkerLooks(context, runs, this.#lives, progress, paces, crashes, listener);
    }

    /** All workers that are to be polled. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#context.workers;
    }

    /** Restores workers from the journal, and their runs whose ends are unknown. */
    recover(): void {
        const { table, workers } = this.#context;
        for (const [id, { address, life }] of table.knownWorkers) {
            const worker = new WorkerState(id, address, life);
            worker.isRecorded = true;
            workers.set(id, worker);
        }
        for (const job of table.jobs.values()) {
            tasksOf(job).forEach(task => this.#recoverRuns(task));
        }
    }

    takeListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        this.#entries.takeListing(entries, unreadable);
    }

    takeEntry(entry: WorkerEntry): void {
        this.#entries.takeEntry(entry);
    }

    takeUnreadable(id: WorkerId): void {
        this.#entries.takeUnreadable(id);
    }

    takeGone(id: WorkerId): void {
        this.#entries.takeGone(id);
    }

    takeLook(id: WorkerId, look: Look, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        this.#looks.takeLook(id, look, sentAt, settledBefore);
    }

    takeEnds(id: WorkerId, ended: Look["ended"]): void {
        this.#looks.takeEnds(id, ended);
    }

    /** Applies that a worker does not answer. `lapsesAt`: when its last lease expires, if known. */
    takeSilence(id: WorkerId, lapsesAt: Milliseconds | undefined, { cause, heardAgo }: Silence): void {
        const worker = this.#context.workers.get(id);
        if (worker === undefined) {
            return;
        }
        if (heardAgo !== undefined) {
            worker.noteHeard(this.#context.now() - heardAgo);
        }
        if (worker.silentSince === undefined) {
            worker.silentSince = this.#context.now();
            if (worker.heardAt !== undefined) {
                // Without an earlier answer the time of silence is unknown: a new owner notices all silent workers at once.
                this.#silences.note(id, worker.entry?.service, worker.silentSince);
            }
            this.#context.options.log.log(logEvents.workerSilent, {
                worker: id,
                cause,
                lapsesAt,
                runs: worker.runs.size,
            });
        }
        worker.lapsesAt = lapsesAt ?? worker.lapsesAt;
        this.#lives.followAddress(worker);
    }

    /** Applies that a worker with another id answers at this worker's address: this one is gone with all its runs. */
    takeOver(id: WorkerId): void {
        const worker = this.#context.workers.get(id);
        if (worker !== undefined) {
            this.#lives.dismiss(worker, "another worker answers at its address", LossCause.Crashed);
        }
        this.#crashes.explain(id, true);
        this.#describe(worker?.nextEntry);
    }

    takeRestart(id: WorkerId, life: WorkerLife | undefined): void {
        this.#describe(this.#lives.takeRestart(id, life));
        this.#listener.roomChanged();
    }

    /** Expires the leases of silent workers and removes workers that have left. */
    tick(): void {
        const now = this.#context.now();
        for (const worker of [...this.#context.workers.values()]) {
            if (worker.silentSince !== undefined && worker.lapsesAt !== undefined) {
                if (now > worker.lapsesAt + leaseMargin) {
                    this.#lapse(worker);
                }
            }
            else if (this.#isLeft(worker, now)) {
                this.#lives.dismiss(worker, "left the cell", LossCause.Alive);
            }
        }
    }

    #describe(entry: WorkerEntry | undefined): void {
        if (entry !== undefined) {
            this.takeEntry(entry);
        }
    }

    #recoverRuns(task: Task): void {
        for (const [run, { worker: id, life }] of [...task.openRuns]) {
            const worker = this.#context.workers.get(id);
            if (worker === undefined) {
                // The worker was recorded as gone after this run, so the run is lost.
                this.#context.record({ kind: "lost", task: task.address, run });
                continue;
            }
            this.#runs.recover(task, run, worker, life);
        }
    }

    /** Whether a worker that answers has been unlisted for the grace period and has no runs. */
    #isLeft(worker: WorkerState, now: Milliseconds): boolean {
        return worker.unlistedSince !== undefined
            && worker.silentSince === undefined
            && worker.isClaimed
            && worker.runs.size === 0
            && now - worker.unlistedSince > unlistedGrace;
    }

    /** Loses all runs of a silent worker, whose leases have expired. */
    #lapse(worker: WorkerState): void {
        const isListed = worker.unlistedSince === undefined && worker.entry !== undefined;
        const lost = [...worker.runs.values()];
        this.#context.options.log.log(logEvents.workerLapsed, { worker: worker.id, runs: lost.length });
        const loss = this.#lives.lossOf(worker, "all leases of the silent worker expired", LossCause.Silent);
        lost.forEach(run => this.#runs.lose(run, loss));
        worker.lapsesAt = undefined;
        // Its next answer is treated like the first one of a new worker.
        worker.isClaimed = false;
        if (!isListed) {
            this.#lives.dismiss(worker, "not listed, silent, and its leases expired", LossCause.Silent);
        }
    }
}
