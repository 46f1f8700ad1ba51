/**
 * Carries out what the owner's decisions led to, turn by turn: records are kept, then orders, questions and
 * acknowledgements leave. Passes over what waits are paced.
 */
import type { AdviceDispatcher, CellScheduler, StartCommand, Turn, WorkerCommand } from "@pebbledale/cell";
import type { GapClock, Journal, Milliseconds } from "@pebbledale/core";
import type { Assignments } from "./assignments.js";
import { confirmationPause } from "./constants.js";
import { PassPacer } from "./pass-pacer.js";

/** What turns need. */
export interface TurnRunnerOptions {
    readonly cell: CellScheduler;
    readonly journal: Journal;
    readonly clock: GapClock;
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
    readonly #pacer: PassPacer;
    #isTurnDue = false;
    /** Whether a turn is planned for when the next pass may be made. */
    #isPassPlanned = false;
    #isFrozen = false;
    /** Whether the store has been asked, since the last doubt, whether this VM owns the cell. */
    #isConfirming = false;
    /** Resolves once all records so far are kept. */
    #kept: Promise<void> = Promise.resolve();

    constructor(private readonly options: TurnRunnerOptions) {
        this.#pacer = new PassPacer(options.clock);
    }

    /**
     * Nothing is decided or written any more: the cell is handed over. Each segment that the next owner finds beyond those
     * that it has read takes it one more answer of the store.
     */
    freeze(): void {
        this.#isFrozen = true;
    }

    /** Resolves once all records so far are kept. */
    untilKept(): Promise<void> {
        return this.#kept;
    }

    /** Plans a turn, with a pass where one is wanted, for when what is ready has run. */
    request(): void {
        if (this.#isTurnDue) {
            return;
        }
        this.#isTurnDue = true;
        setImmediate(() => {
            this.#isTurnDue = false;
            if (this.options.cell.wantsPass && !this.#isFrozen && !this.#isInDoubt) {
                this.#pass();
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
        if (this.#isInDoubt) {
            await this.#untilCertain();
        }
        const turn = cell.drain();
        if (this.#isFrozen) {
            // What came since is seen by the next owner too: it is neither acted on nor acknowledged here.
            return false;
        }
        turn.commands.filter(command => command.kind !== "start").forEach(command => this.#send(command));
        advice.ask(...turn.questions);
        this.#tidyLinks(turn);
        try {
            if (turn.records.length > 0) {
                this.#kept = journal.append(turn.records);
            }
            // What this turn acknowledges may hang on records of an earlier one.
            await this.#kept;
        }
        catch (cause) {
            lost.abort(cause);
            return false;
        }
        if (this.#isInDoubt) {
            await this.#untilCertain();
        }
        cell.kept(turn);
        turn.commands.filter(command => command.kind === "start").forEach(command => this.#sendStart(command));
        for (const [worker, through] of turn.acknowledgements) {
            // Numbers of ends are those of one life: the next one counts its own from 1.
            if (cell.workers.get(worker.id) === worker) {
                const { id } = worker;
                assignments.vmOf(id)?.channel.send({ kind: "acknowledge", worker: id, through });
            }
        }
        if (cell.wantsPass && !this.#isFrozen && !this.#isPassPlanned) {
            this.request();
        }
        return !lost.signal.aborted;
    }

    /**
     * Whether this process may have been suspended since the store last confirmed that it owns the cell: another VM may own it by
     * now, and nothing tells how long ago the last confirmation was.
     */
    get #isInDoubt(): boolean {
        return this.options.confirmedAt() < this.options.clock.countedSince();
    }

    async #untilCertain(): Promise<void> {
        const { clock, confirm, lost } = this.options;
        while (this.#isInDoubt && !lost.signal.aborted) {
            if (!this.#isConfirming) {
                this.#isConfirming = true;
                confirm();
            }
            await clock.sleep(confirmationPause, lost.signal);
        }
        this.#isConfirming = false;
    }

    /** A pass now, or a turn when the next one may be made. */
    #pass(): void {
        const { cell, clock, lost } = this.options;
        const { wait } = this.#pacer;
        if (wait === 0) {
            this.#pacer.run(() => cell.place());
        }
        else if (!this.#isPassPlanned) {
            this.#isPassPlanned = true;
            void clock.sleep(wait, lost.signal).then(() => {
                this.#isPassPlanned = false;
                this.request();
            });
        }
    }

    /** A start whose job ended while its record was written is not sent. */
    #sendStart(command: StartCommand): void {
        const { cell, assignments } = this.options;
        const { worker, task, run } = command;
        const hasLink = assignments.vmOf(worker) !== undefined;
        if (hasLink && cell.sendStart(worker, task, run)) {
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
    #tidyLinks(turn: Turn): void {
        const { assignments, onNewWorkers } = this.options;
        let hasNew = false;
        for (const record of turn.records) {
            const isGone = record.kind === "worker-gone";
            hasNew ||= record.kind === "worker";
            if (isGone || record.kind === "worker" && assignments.isElsewhere(record.worker, record.address)) {
                assignments.vmOf(record.worker)?.channel.send({ kind: "unassign", worker: record.worker });
                assignments.remove(record.worker);
            }
        }
        if (hasNew) {
            onNewWorkers();
        }
    }
}
