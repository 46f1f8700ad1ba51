/** Execution of the scheduler's decisions. */
import type { AdviceDispatcher, CellScheduler, StartCommand, TurnOutput, WorkerCommand } from "@pebbledale/cell";
import type { Journal, Milliseconds, SuspensionAwareClock } from "@pebbledale/core";
import type { Assignments } from "./assignments.js";
import { confirmationPollInterval, confirmationValidity } from "./constants.js";
import { CyclePacer } from "./cycle-pacer.js";

/** Dependencies of the turn runner. */
export interface TurnRunnerOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: SuspensionAwareClock;
    /** Time of the store's last confirmation that this VM owns the cell, on the monotonic clock. */
    readonly confirmedAt: () => Milliseconds;
    /** Asks the store to confirm that this VM owns the cell. */
    readonly confirm: () => void;
    readonly advice: AdviceDispatcher;
    readonly assignments: Assignments;
    /** Aborted when the journal is fenced by another owner. */
    readonly lost: AbortController;
    /** Called when workers without a link have appeared. */
    readonly onNewWorkers: () => void;
}

/**
 * Carries out the scheduler's decisions in turns: the records of a turn are committed to the journal before its starts
 * and acknowledgements are sent. Scheduling cycles are run between turns at a limited rate.
 */
export class TurnRunner {
    readonly #pacer: CyclePacer;
    #isTurnScheduled = false;
    /** Whether a turn is scheduled for when the next cycle may run. */
    #isCycleScheduled = false;
    #isFrozen = false;
    /** Whether a confirmation has been requested since ownership last came into doubt. */
    #isConfirmationRequested = false;
    /** Resolves once all records so far are committed. */
    #committed: Promise<void> = Promise.resolve();

    constructor(private readonly options: TurnRunnerOptions) {
        this.#pacer = new CyclePacer(options.clock);
    }

    /**
     * Stops all decisions and journal writes for a handover. Each segment that the next owner finds in addition to
     * those it has read costs it another round trip to the store.
     */
    freeze(): void {
        this.#isFrozen = true;
    }

    untilCommitted(): Promise<void> {
        return this.#committed;
    }

    /** Schedules a turn after pending callbacks, with a scheduling cycle before it if one is needed. */
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
     * Runs a turn on the inputs received so far; resolves to whether their records are committed. It resolves to false
     * when the cell is handed over or lost meanwhile, and callers must then not be told that their requests succeeded.
     */
    async run(): Promise<boolean> {
        const { cell, advice, journal, assignments, lost } = this.options;
        if (this.#isOwnershipInDoubt) {
            await this.#untilOwnershipConfirmed(() => this.#isOwnershipInDoubt);
        }
        const turn = cell.drain();
        if (this.#isFrozen) {
            // The next owner receives these inputs too: they are neither acted on nor acknowledged here.
            return false;
        }
        turn.commands.filter(command => command.kind !== "start").forEach(command => this.#send(command));
        advice.ask(...turn.questions);
        this.#updateLinks(turn);
        try {
            if (turn.records.length > 0) {
                this.#committed = journal.append(turn.records);
            }
            // Acknowledgements of this turn may depend on records of an earlier one.
            await this.#committed;
        }
        catch (cause) {
            lost.abort(cause);
            return false;
        }
        // The answer of the store may have waited while this process was stopped.
        const mayHaveLostCell = () => this.#isOwnershipInDoubt || this.#isConfirmationOutdated;
        if (mayHaveLostCell()) {
            await this.#untilOwnershipConfirmed(mayHaveLostCell);
            if (lost.signal.aborted) {
                return false;
            }
        }
        cell.turnCommitted(turn);
        turn.commands.filter(command => command.kind === "start").forEach(command => this.#sendStart(command));
        for (const [worker, through] of turn.acknowledgements) {
            // Run ends are numbered per incarnation; those of another incarnation must not be acknowledged.
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
     * Whether this process may have been suspended since the store last confirmed its ownership. The monotonic clock
     * does not count a suspension, so another VM may own the cell by now.
     */
    get #isOwnershipInDoubt(): boolean {
        return this.options.confirmedAt() < this.options.clock.uninterruptedSince();
    }

    /** Whether the last confirmation is so old that a new owner would not wait for the leases of starts that are sent now. */
    get #isConfirmationOutdated(): boolean {
        const { clock, confirmedAt } = this.options;
        return clock.monotonic() - confirmedAt() >= confirmationValidity;
    }

    async #untilOwnershipConfirmed(isInDoubt: () => boolean): Promise<void> {
        const { clock, confirm, lost } = this.options;
        while (isInDoubt() && !lost.signal.aborted) {
            if (!this.#isConfirmationRequested) {
                this.#isConfirmationRequested = true;
                confirm();
            }
            await clock.sleep(confirmationPollInterval, lost.signal);
        }
        this.#isConfirmationRequested = false;
    }

    /** Runs a scheduling cycle now, or schedules a turn for when the next one may run. */
    #runOrScheduleCycle(): void {
        const { cell, clock, lost } = this.options;
        const { delay } = this.#pacer;
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

    /** Sends a start unless its job ended while the record was written or the worker has no link. */
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

    /** Requests links for new workers, and removes those of workers that are gone or have another address. */
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
