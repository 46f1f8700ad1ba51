/**
 * Carries out what the owner's decisions led to, turn by turn: records are kept, then orders, questions and
 * acknowledgements leave. Passes over what waits are paced.
 */
import type { AdviceDispatcher, CellScheduler, StartCommand, TurnOutput, WorkerCommand } from "@pebbledale/cell";
import type { Journal, Milliseconds, SuspensionAwareClock } from "@pebbledale/core";
import type { Assignments } from "./assignments.js";
import { confirmationPollInterval } from "./constants.js";
import { CyclePacer } from "./pass-pacer.js";

/** What turns need. */
export interface TurnRunnerOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: SuspensionAwareClock;
    /** When the store last confirmed that this VM owns the cell, by the monotonic clock. */
    readonly confirmedAt: () => Milliseconds;
    /** Has the store asked whether this VM owns the cell. */
    readonly confirm: () => void;
    readonly advice: AdviceDispatcher;
    readonly assignments: Assignments;
    /** Fired when the journal is another owner's. */
    readonly lost: AbortController;
    /** Told of workers that have no link yet. */
    readonly onNewWorkers: () => void;
}

/** See the module's comment. */
export class TurnRunner {
    readonly #pacer: CyclePacer;
    #isTurnScheduled = false;
    /** Whether a turn is planned for when the next pass may be made. */
    #isCycleScheduled = false;
    #isFrozen = false;
    /** Whether the store has been asked, since the last doubt, whether this VM owns the cell. */
    #isConfirmationRequested = false;
    /** Resolves once all records so far are kept. */
    #committed: Promise<void> = Promise.resolve();

    constructor(private readonly options: TurnRunnerOptions) {
        this.#pacer = new CyclePacer(options.clock);
    }

    /**
     * Nothing is decided or written any more: the cell is handed over. Each segment that the next owner finds beyond those
     * that it has read takes it one more answer of the store.
     */
    freeze(): void {
        this.#isFrozen = true;
    }

    /** Resolves once all records so far are kept. */
    untilCommitted(): Promise<void> {
        return this.#committed;
    }

    /** Plans a turn, with a pass where one is wanted, for when what is ready has run. */
    schedule(): void {
        if (this.#isTurnScheduled) {
            return;
        }
        this.#isTurnScheduled = true;
        setImmediate(() => {
            this.#isTurnScheduled = false;
            if (this.options.cell.needsCycle && !this.#isFrozen && !this.#isOwnershipInDoubt) {
                this.#runOrScheduleCycle();
            }
            void this.run();
        });
    }

    /**
     * Carries out what the inputs so far led to; resolves to whether all records so far are kept. They are not where the cell is handed over
     * or lost meanwhile: no caller may then be told that its request was done.
     */
    async run(): Promise<boolean> {
        const { cell, advice, journal, assignments, lost } = this.options;
        if (this.#isOwnershipInDoubt) {
            await this.#untilOwnershipConfirmed();
        }
        const turn = cell.drain();
        if (this.#isFrozen) {
            // What came since is seen by the next owner too: it is neither acted on nor acknowledged here.
            return false;
        }
        turn.commands.filter(command => command.kind !== "start").forEach(command => this.#send(command));
        advice.ask(...turn.questions);
        this.#updateLinks(turn);
        try {
            if (turn.records.length > 0) {
                this.#committed = journal.append(turn.records);
            }
            // What this turn acknowledges may hang on records of an earlier one.
            await this.#committed;
        }
        catch (cause) {
            lost.abort(cause);
            return false;
        }
        if (this.#isOwnershipInDoubt) {
            await this.#untilOwnershipConfirmed();
        }
        cell.turnCommitted(turn);
        turn.commands.filter(command => command.kind === "start").forEach(command => this.#sendStart(command));
        for (const [worker, through] of turn.acknowledgements) {
            // Numbers of ends are those of one life: the next one counts its own from 1.
            if (cell.workers.get(worker.id) === worker) {
                const { id } = worker;
                assignments.vmOf(id)?.channel.send({ kind: "acknowledge", worker: id, through });
            }
        }
        if (cell.needsCycle && !this.#isFrozen && !this.#isCycleScheduled) {
            this.schedule();
        }
        return !lost.signal.aborted;
    }

    /**
     * Whether this process may have been suspended since the store last confirmed that it owns the cell: another VM may own it by
     * now, and nothing tells how long ago the last confirmation was.
     */
    get #isOwnershipInDoubt(): boolean {
        return this.options.confirmedAt() < this.options.clock.uninterruptedSince();
    }

    async #untilOwnershipConfirmed(): Promise<void> {
        const { clock, confirm, lost } = this.options;
        while (this.#isOwnershipInDoubt && !lost.signal.aborted) {
            if (!this.#isConfirmationRequested) {
                this.#isConfirmationRequested = true;
                confirm();
            }
            await clock.sleep(confirmationPollInterval, lost.signal);
        }
        this.#isConfirmationRequested = false;
    }

    /** A pass now, or a turn when the next one may be made. */
    #runOrScheduleCycle(): void {
        const { cell, clock, lost } = this.options;
        const { delay: delay } = this.#pacer;
        if (delay === 0) {
            this.#pacer.run(() => cell.place());
        }
        else if (!this.#isCycleScheduled) {
            this.#isCycleScheduled = true;
            void clock.sleep(delay, lost.signal).then(() => {
                this.#isCycleScheduled = false;
                this.schedule();
            });
        }
    }

    /** A start whose job ended while its record was written is not sent. */
    #sendStart(command: StartCommand): void {
        const { cell, assignments } = this.options;
        const { worker, task, run } = command;
        const hasLink = assignments.vmOf(worker) !== undefined;
        if (hasLink && cell.prepareStart(worker, task, run)) {
            this.#send(command);
        }
        else {
            cell.dropStart(worker, task, run);
        }
    }

    #send(command: WorkerCommand): void {
        this.options.assignments.vmOf(command.worker)?.channel.send({ kind: "command", command });
    }

    /** Workers that came get a link, those that are gone lose it, and those that are elsewhere get another. */
    #updateLinks(turn: TurnOutput): void {
        const { assignments, onNewWorkers } = this.options;
        let hasNew = false;
        for (const record of turn.records) {
            const isGone = record.kind === "worker-gone";
            hasNew ||= record.kind === "worker";
            if (isGone || record.kind === "worker" && assignments.hasOtherAddress(record.worker, record.address)) {
                assignments.vmOf(record.worker)?.channel.send({ kind: "unassign", worker: record.worker });
                assignments.remove(record.worker);
            }
        }
        if (hasNew) {
            onNewWorkers();
        }
    }
}
