/** The cell's workers: who there is, what they say runs there, and when nothing can run there any more. */
import { logEvents, type Milliseconds, type WorkerId, type WorkerLife } from "@pebbledale/core";
import { type CrashWatch, LossCause, type SilenceLog } from "../crashes/index.js";
import type { PaceKeeper } from "../pacing/index.js";
import {
    type CellContext,
    type Task,
    TaskPhase,
    type TaskRun,
    type TaskSize,
    tasksOf,
    WorkerState,
} from "../state/index.js";
import type { Look, WorkerRun } from "../task-worker/index.js";
import type { ProgressWatch } from "../watching/index.js";
import type { WorkerEntry } from "../worker-directory/index.js";
import { leaseMargin, unlistedGrace } from "./constants.js";
import type { RunBook } from "./run-book.js";

/** Told what may make room or free what was held. */
export interface WorkerListener {
    /** A worker may be ordered that could not be before, or has more room. */
    roomChanged(): void;
    /** A worker drains: what runs there may have to move. */
    workerDrains(worker: WorkerState): void;
    /** Nothing of a worker can run any more. */
    workerGone(worker: WorkerState): void;
}

/** What is known of a silence. */
export interface Silence {
    /** Why the worker is taken to be silent. */
    readonly cause: string;
    /** How long ago it last answered; undefined when that is not known. */
    readonly heardAgo?: Milliseconds | undefined;
}

/** See the module's comment. */
export class WorkerPool {
    constructor(
        private readonly context: CellContext,
        private readonly runs: RunBook,
        private readonly progress: ProgressWatch,
        private readonly paces: PaceKeeper,
        private readonly crashes: CrashWatch,
        private readonly silences: SilenceLog,
        private readonly listener: WorkerListener,
    ) {}

    /** All workers that are to be asked. */
    get workers(): ReadonlyMap<WorkerId, WorkerState> {
        return this.context.workers;
    }

    /** Takes over the workers of the journal, and the runs there whose ends are not known. */
    recover(): void {
        const { table, workers } = this.context;
        for (const [id, { address, life }] of table.knownWorkers) {
            const worker = new WorkerState(id, address, life);
            worker.isRecorded = true;
            workers.set(id, worker);
        }
        for (const job of table.jobs.values()) {
            tasksOf(job).forEach(task => this.#recoverRuns(task));
        }
    }

    /** Takes in all entries of the platform's store. */
    takeListing(entries: readonly WorkerEntry[], unreadable: readonly WorkerId[]): void {
        const listed = new Set([...entries.map(entry => entry.worker), ...unreadable]);
        entries.forEach(entry => this.takeEntry(entry));
        unreadable.forEach(id => this.takeUnreadable(id));
        for (const id of this.context.workers.keys()) {
            if (!listed.has(id)) {
                this.takeGone(id);
            }
        }
    }

    /** Takes in one entry. */
    takeEntry(entry: WorkerEntry): void {
        const { log } = this.context.options;
        let worker = this.context.workers.get(entry.worker);
        if (worker === undefined) {
            worker = new WorkerState(entry.worker, entry.address, entry.life);
            this.context.workers.set(entry.worker, worker);
            this.crashes.noteNewLife(entry.worker, entry.address);
        }
        worker.unlistedSince = undefined;
        if (!this.#isOfItsLife(worker, entry)) {
            return;
        }
        worker.life ??= entry.life;
        if (!worker.isRecorded || worker.address !== entry.address) {
            worker.address = entry.address;
            this.#record(worker);
        }
        const wasDraining = worker.entry?.isDraining === true;
        const isNew = worker.entry === undefined;
        const former = worker.entry?.capacity;
        worker.describe(entry);
        if (former !== undefined && !isSameRoom(former, entry.capacity)) {
            log.log(logEvents.workerRoomChanged, {
                worker: entry.worker,
                former,
                room: entry.capacity,
                runs: worker.runs.size,
                isOverfull: worker.isOverfull,
            });
        }
        if (entry.isDraining && !wasDraining) {
            worker.leavesAt = this.context.now() + (entry.leavesIn ?? 0);
            log.log(logEvents.workerDrains, { worker: entry.worker, leavesIn: entry.leavesIn });
            this.listener.workerDrains(worker);
        }
        if (isNew) {
            log.log(logEvents.workerListed, {
                worker: entry.worker,
                life: entry.life,
                address: entry.address,
                labels: entry.labels,
            });
        }
        this.listener.roomChanged();
    }

    /** An entry can no longer be read: its worker takes nothing new until it can. What runs there goes on. */
    takeUnreadable(id: WorkerId): void {
        const worker = this.context.workers.get(id);
        if (worker !== undefined) {
            worker.isUnreadable = true;
            worker.unlistedSince = undefined;
        }
    }

    /** An entry is gone from the platform's store. The worker may live on: it is asked until its leases are over. */
    takeGone(id: WorkerId): void {
        const worker = this.context.workers.get(id);
        if (worker !== undefined && worker.unlistedSince === undefined) {
            worker.unlistedSince = this.context.now();
            this.context.options.log.log(logEvents.workerUnlisted, { worker: id });
        }
    }

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
            this.#record(worker);
        }
        const isFirst = !worker.isClaimed;
        worker.isClaimed = true;
        this.crashes.noteAnswer(id, worker.life);
        this.#noteAnswer(worker);
        this.takeEnds(id, look.ended);
        this.#compare(worker, look.running, sentAt, settledBefore);
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

    /** A worker does not answer. `lapsesAt`: when every lease there is over, if that is known. */
    takeSilence(id: WorkerId, lapsesAt: Milliseconds | undefined, { cause, heardAgo }: Silence): void {
        const worker = this.context.workers.get(id);
        if (worker === undefined) {
            return;
        }
        if (heardAgo !== undefined) {
            worker.noteHeard(this.context.now() - heardAgo);
        }
        if (worker.silentSince === undefined) {
            worker.silentSince = this.context.now();
            if (worker.heardAt !== undefined) {
                // A new owner finds all that fell silent before its time at one moment.
                this.silences.note(id, worker.silentSince);
            }
            this.context.options.log.log(logEvents.workerSilent, {
                worker: id,
                cause,
                lapsesAt,
                runs: worker.runs.size,
            });
        }
        worker.lapsesAt = lapsesAt ?? worker.lapsesAt;
        this.#followAddress(worker);
    }

    /** Another life of the worker answers at its address: this one is over, with all that ran there. */
    takeOver(id: WorkerId): void {
        const worker = this.context.workers.get(id);
        if (worker !== undefined) {
            this.#dismiss(worker, "another worker answers at its address", LossCause.Crashed);
        }
        this.crashes.explain(id, true);
        if (worker?.nextEntry !== undefined) {
            this.takeEntry(worker.nextEntry);
        }
    }

    /**
     * A worker was started again under its id: another life of it answers. All that its former life has shown is over. What was ordered
     * and not shown yet may be carried out by either, and by the new one later, until that has seen a higher token: the first look under a
     * new link tells.
     */
    takeRestart(id: WorkerId, life: WorkerLife | undefined): void {
        const former = this.context.workers.get(id);
        if (former === undefined) {
            return;
        }
        if (former.silentSince === undefined) {
            this.silences.note(id, this.context.now());
        }
        const worker = former.succeed(life);
        this.context.workers.set(id, worker);
        this.listener.workerGone(former);
        this.#record(worker);
        const runs = [...former.runs.values()];
        runs.forEach(run => this.#leave(run, worker));
        this.crashes.explain(id, true);
        this.context.options.log.log(logEvents.workerRestarted, {
            worker: id,
            former: former.life,
            life,
            runs: runs.length,
            unsettled: worker.runs.size,
        });
        // An entry that names no life may be of either: it does not change again only because its worker was started again.
        const entry = former.nextEntry ?? (former.entry?.life === undefined ? former.entry : undefined);
        if (entry !== undefined) {
            this.takeEntry(entry);
        }
        this.listener.roomChanged();
    }

    /** Looks at what time has brought: leases that are over. */
    tick(): void {
        const now = this.context.now();
        for (const worker of [...this.context.workers.values()]) {
            if (worker.silentSince !== undefined && worker.lapsesAt !== undefined) {
                if (now > worker.lapsesAt + leaseMargin) {
                    this.#lapse(worker);
                }
            }
            else if (this.#isLeft(worker, now)) {
                this.#dismiss(worker, "it left", LossCause.Left);
            }
        }
    }

    #recoverRuns(task: Task): void {
        for (const [run, { worker: id, life }] of [...task.openRuns]) {
            const worker = this.context.workers.get(id);
            if (worker === undefined) {
                // The worker was recorded as gone after this run was: the run went with it.
                this.context.record({ kind: "lost", task: task.address, run });
                continue;
            }
            this.runs.recover(task, run, worker, life);
        }
    }

    /** What becomes of a run whose worker was started again. */
    #leave(run: TaskRun, worker: WorkerState): void {
        if (run.isShown) {
            this.runs.lose(run, "its worker was started again", LossCause.Crashed);
        }
        else if (run.sentAt === undefined) {
            this.runs.notStarted(run, undefined);
        }
        else {
            this.runs.transfer(run, worker);
        }
    }

    /**
     * Whether an entry describes the life that answers. The store may be behind the worker, or ahead of what was heard of it, so only
     * answers tell which life is the present one; the entry of another waits until that one answers.
     */
    #isOfItsLife(worker: WorkerState, entry: WorkerEntry): boolean {
        if (worker.life === undefined || entry.life === undefined || worker.life === entry.life) {
            return true;
        }
        const isFormer = worker.formerLives.includes(entry.life);
        worker.nextEntry = isFormer ? worker.nextEntry : entry;
        this.context.options.log.log(logEvents.workerListedAnew, {
            worker: entry.worker,
            life: worker.life,
            listed: entry.life,
            isFormer,
            address: entry.address,
            runs: worker.runs.size,
        });
        this.#followAddress(worker);
        return false;
    }

    /** A worker that is silent and listed at another address as another life is asked there: whoever answers tells what became of it. */
    #followAddress(worker: WorkerState): void {
        const { nextEntry } = worker;
        if (nextEntry !== undefined && worker.silentSince !== undefined && nextEntry.address !== worker.address) {
            worker.address = nextEntry.address;
            this.#record(worker);
        }
    }

    /** Has a later owner ask a worker before it trusts that nothing runs there. */
    #record({ id, address, life }: WorkerState): void {
        this.context.record({ kind: "worker", worker: id, address, ...(life === undefined ? {} : { life }) });
    }

    /** Whether a worker that answers is no longer listed and has nothing at work. */
    #isLeft(worker: WorkerState, now: Milliseconds): boolean {
        return worker.unlistedSince !== undefined
            && worker.silentSince === undefined
            && worker.isClaimed
            && worker.runs.size === 0
            && now - worker.unlistedSince > unlistedGrace;
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
        running: readonly WorkerRun[],
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
        }
        worker.strangers = strangers;
        this.progress.note(worker, progress);
        this.paces.note(worker, progress);
        for (const run of [...worker.runs.values()]) {
            if (seen.has(run)) {
                continue;
            }
            if (isSettled(run, settledBefore)) {
                this.#settleUnseen(run);
            }
            else if (run.confirmedAt !== undefined && run.confirmedAt < sentAt) {
                this.runs.lose(run, "its worker no longer has it", LossCause.Alive);
            }
        }
    }

    /** A run that was ordered is not there and will not be. */
    #settleUnseen(run: TaskRun): void {
        if (run.formerLife !== undefined) {
            this.runs.lose(run, "its worker was started again", LossCause.Crashed);
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

    /** Every lease at a worker that does not answer is over. */
    #lapse(worker: WorkerState): void {
        const isListed = worker.unlistedSince === undefined && worker.entry !== undefined;
        const lost = [...worker.runs.values()];
        this.context.options.log.log(logEvents.workerLapsed, { worker: worker.id, runs: lost.length });
        lost.forEach(run => this.runs.lose(run, "every lease at its silent worker is over", LossCause.Silent));
        worker.lapsesAt = undefined;
        // Whatever it says next is compared as if it were new.
        worker.isClaimed = false;
        if (!isListed) {
            this.#dismiss(worker, "it is neither listed nor heard and its leases are over", LossCause.Silent);
        }
    }

    #dismiss(worker: WorkerState, reason: string, cause: LossCause): void {
        [...worker.runs.values()].forEach(run => this.runs.lose(run, reason, cause));
        this.context.workers.delete(worker.id);
        this.listener.workerGone(worker);
        this.context.record({ kind: "worker-gone", worker: worker.id });
        this.context.options.log.log(logEvents.workerGone, { worker: worker.id, reason });
    }
}

const isSameRoom = (left: TaskSize, right: TaskSize): boolean =>
    left.processorThousandths === right.processorThousandths
    && left.memoryMebibytes === right.memoryMebibytes
    && left.accelerators === right.accelerators;

/**
 * Whether a look that does not show a run proves that it is not there and will not be. What was ordered of a former life was so before
 * the link to the present one, also where a clock shows the same moment for both: else its task would wait for ever.
 */
const isSettled = ({ confirmedAt, sentAt, formerLife }: TaskRun, settledBefore: Milliseconds): boolean => {
    const isSent = confirmedAt === undefined && sentAt !== undefined;
    return isSent && (formerLife === undefined ? sentAt < settledBefore : settledBefore > -Infinity);
};

/** Whether a task is to be at work. */
const isWanted = (task: Task): boolean =>
    !task.step.job.isOver && task.phase !== TaskPhase.Done && task.phase !== TaskPhase.Failed;
