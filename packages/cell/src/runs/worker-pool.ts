/** The cell's workers: who there is, and when nothing can run there any more. */
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

/** What a pool needs. */
export interface WorkerPoolOptions {
    readonly context: CellContext;
    readonly runs: RunBook;
    readonly progress: ProgressWatch;
    readonly paces: PaceKeeper;
    readonly crashes: CrashWatch;
    readonly silences: SilenceLog;
    readonly listener: WorkerListener;
}

/** See the module's comment. */
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

    /** All workers that are to be asked. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.#context.workers;
    }

    /** Takes over the workers of the journal, and the runs there whose ends are not known. */
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

    /** See {@link WorkerEntries.takeListing}. */
    takeListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        this.#entries.takeListing(entries, unreadable);
    }

    /** See {@link WorkerEntries.takeEntry}. */
    takeEntry(entry: WorkerEntry): void {
        this.#entries.takeEntry(entry);
    }

    /** See {@link WorkerEntries.takeUnreadable}. */
    takeUnreadable(id: WorkerId): void {
        this.#entries.takeUnreadable(id);
    }

    /** See {@link WorkerEntries.takeGone}. */
    takeGone(id: WorkerId): void {
        this.#entries.takeGone(id);
    }

    /** See {@link WorkerLooks.takeLook}. */
    takeLook(id: WorkerId, look: Look, sentAt: Milliseconds, settledBefore: Milliseconds): void {
        this.#looks.takeLook(id, look, sentAt, settledBefore);
    }

    /** See {@link WorkerLooks.takeEnds}. */
    takeEnds(id: WorkerId, ended: Look["ended"]): void {
        this.#looks.takeEnds(id, ended);
    }

    /** A worker does not answer. `lapsesAt`: when every lease there is over, if that is known. */
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
        worker.lapsesAt = lapsesAt ?? worker.lapsesAt;
        this.#lives.followAddress(worker);
    }

    /** A worker of another id answers where this one was: it is over, with all that ran there. */
    takeOver(id: WorkerId): void {
        const worker = this.#context.workers.get(id);
        if (worker !== undefined) {
            this.#lives.dismiss(worker, "another worker answers at its address", LossCause.Crashed);
        }
        this.#crashes.explain(id, true);
        this.#describe(worker?.nextEntry);
    }

    /** See {@link WorkerLives.takeRestart}. */
    takeRestart(id: WorkerId, life: WorkerLife | undefined): void {
        this.#describe(this.#lives.takeRestart(id, life));
        this.#listener.roomChanged();
    }

    /** Looks at what time has brought: leases that are over. */
    tick(): void {
        const now = this.#context.now();
        for (const worker of [...this.#context.workers.values()]) {
            if (worker.silentSince !== undefined && worker.lapsesAt !== undefined) {
                if (now > worker.lapsesAt + leaseMargin) {
                    this.#lapse(worker);
                }
            }
            else if (this.#isLeft(worker, now)) {
                this.#lives.dismiss(worker, "it left", LossCause.Alive);
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
                // The worker was recorded as gone after this run was: the run went with it.
                this.#context.record({ kind: "lost", task: task.address, run });
                continue;
            }
            this.#runs.recover(task, run, worker, life);
        }
    }

    /** Whether a worker that answers is no longer listed and has nothing at work. */
    #isLeft(worker: WorkerState, now: Milliseconds): boolean {
        return worker.unlistedSince !== undefined
            && worker.silentSince === undefined
            && worker.isClaimed
            && worker.runs.size === 0
            && now - worker.unlistedSince > unlistedGrace;
    }

    /** Every lease at a worker that does not answer is over. */
    #lapse(worker: WorkerState): void {
        const isListed = worker.unlistedSince === undefined && worker.entry !== undefined;
        const lost = [...worker.runs.values()];
        this.#context.options.log.log(logEvents.workerLapsed, { worker: worker.id, runs: lost.length });
        const loss = this.#lives.lossOf(worker, "every lease at its silent worker is over", LossCause.Silent);
        lost.forEach(run => this.#runs.lose(run, loss));
        worker.lapsesAt = undefined;
        // Whatever it says next is compared as if it were new.
        worker.isClaimed = false;
        if (!isListed) {
            this.#lives.dismiss(worker, "it is neither listed nor heard and its leases are over", LossCause.Silent);
        }
    }
}
