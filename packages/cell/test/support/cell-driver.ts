/** Driver for tests of the cell's scheduler. */
import { type LogEvent, ManualClock, type RunNumber, type TaskAddress } from "@pebbledale/core";
import {
    type AdviceRequest,
    type CellConfiguration,
    type CellOptions,
    type CellRecord,
    CellScheduler,
    type CellSnapshot,
    type EndedRun,
    type PaceCommand,
    type PollResult,
    RunEnd,
    type StartCommand,
    type StopCommand,
    type TurnOutput,
    type WorkerEntry,
    type WorkerRun,
} from "../../src/index.js";
import { idOf, makeConfiguration, makeQueue } from "./builders.js";

/** Output of one or more turns, by kind of command. */
export interface DriverOutput {
    readonly starts: readonly StartCommand[];
    readonly stops: readonly StopCommand[];
    readonly paces: readonly PaceCommand[];
    readonly questions: readonly AdviceRequest[];
    /** Highest number of the ends that each worker may forget, by worker id. */
    readonly acknowledged: Readonly<Record<string, number>>;
}

/** Runs a scheduler with a manual clock and a journal in memory; committing can be delayed, and another owner can take over. */
export class CellDriver {
    cell: CellScheduler;
    readonly records: CellRecord[] = [];
    readonly logged: { readonly event: LogEvent; readonly fields: Readonly<Record<string, unknown>>; }[] = [];
    /** Turns whose records are not committed yet. */
    #uncommitted: TurnOutput[] = [];
    #numbers = new Map<string, number>();

    constructor(
        readonly clock = new ManualClock(),
        private readonly configuration: CellConfiguration = makeConfiguration(1, [makeQueue("work")]),
        private readonly options: Partial<CellOptions> = {},
    ) {
        this.cell = this.#makeCell();
    }

    /** Lists workers and has each answer its first poll. */
    addWorkers(...entries: WorkerEntry[]): void {
        this.cell.updateWorkerEntries(entries, []);
        this.run();
        entries.forEach(entry => this.poll(entry.worker));
    }

    /** Applies a poll that reports `running` and `ended`. `isFirst`: whether it is the first of a link, which resolves earlier orders. */
    poll(worker: string, running: readonly WorkerRun[] = [], ended: readonly EndedRun[] = [], isFirst = true): void {
        const now = this.clock.monotonic();
        const report: PollResult = { clock: now, running, ended };
        this.cell.applyPoll(idOf(worker), report, now, isFirst ? now : -Infinity);
    }

    /** Applies the first poll of a link, in which the worker could not list all ends. */
    pollCutShort(worker: string, running: readonly WorkerRun[], ended: readonly EndedRun[]): void {
        const now = this.clock.monotonic();
        this.cell.applyPoll(idOf(worker), { clock: now, running, ended, mayHaveMoreEnds: true }, now, now);
    }

    /** Runs a scheduling cycle, commits its records, and returns the commands to be sent. */
    run(): DriverOutput {
        this.decide();
        return this.commit();
    }

    /** Runs a scheduling cycle without committing its records. */
    decide(): void {
        this.cell.place();
        this.#uncommitted.push(this.cell.drain());
    }

    /** Commits the records of the first `count` turns, by default of all, and returns the commands to be sent. */
    commit(count = Infinity): DriverOutput {
        const turns = this.#uncommitted.splice(0, count);
        const output = turns.map(turn => this.#commitTurn(turn));
        return {
            starts: output.flatMap(part => part.starts),
            stops: output.flatMap(part => part.stops),
            paces: output.flatMap(part => part.paces),
            questions: output.flatMap(part => part.questions),
            acknowledged: Object.assign({}, ...output.map(part => part.acknowledged)) as Record<string, number>,
        };
    }

    /** Confirms starts on behalf of their workers. */
    confirm(...starts: StartCommand[]): void {
        starts.forEach(({ worker, task, run }) => this.cell.startAccepted(worker, task, run));
    }

    /** Reports the end of a run on behalf of its worker. */
    end({ worker, task, run }: StartCommand, end: RunEnd = RunEnd.Done, checkpoint = ""): void {
        this.cell.applyEnds(worker, [this.ended(worker, task, run, end, checkpoint)]);
    }

    /** Builds an end with the worker's next end number. */
    ended(worker: string, task: TaskAddress, run: RunNumber, end: RunEnd, checkpoint = ""): EndedRun {
        const number = (this.#numbers.get(worker) ?? 0) + 1;
        this.#numbers.set(worker, number);
        return { number, task, run, end, checkpoint };
    }

    /** Restarts the end numbers of a worker at 1, as a new incarnation does. */
    resetEndNumbers(worker: string): void {
        this.#numbers.delete(worker);
    }

    /** Replaces the scheduler by one that is restored from `snapshot`, or from the committed records. Records not committed are lost. */
    takeOver(snapshot?: CellSnapshot, isConfigured = true): void {
        this.#uncommitted = [];
        const records = snapshot === undefined ? [...this.records] : [];
        this.cell = this.#makeCell(snapshot, records, isConfigured);
    }

    #makeCell(
        snapshot?: CellSnapshot,
        records: readonly CellRecord[] = [],
        isConfigured = true,
    ): CellScheduler {
        const log = (event: LogEvent, fields: Readonly<Record<string, unknown>> = {}) =>
            void this.logged.push({ event, fields });
        const cell = new CellScheduler({ ...this.options, clock: this.clock, log: { log } });
        if (isConfigured) {
            cell.configure(this.configuration);
        }
        cell.recover(snapshot, records);
        return cell;
    }

    #commitTurn(turn: TurnOutput): DriverOutput {
        this.records.push(...turn.records);
        this.cell.turnCommitted(turn);
        const starts = turn.commands.filter(command => command.kind === "start");
        return {
            starts: starts.filter(start => {
                const isSent = this.cell.prepareStart(start.worker, start.task, start.run);
                if (!isSent) {
                    this.cell.dropStart(start.worker, start.task, start.run);
                }
                return isSent;
            }),
            stops: turn.commands.filter(command => command.kind === "stop"),
            paces: turn.commands.filter(command => command.kind === "pace"),
            questions: turn.questions,
            acknowledged: Object.fromEntries([...turn.acknowledgements].map(([{ id }, through]) => [id, through])),
        };
    }
}

/** Builds the report of a run in progress. */
export const running = ({ task, run }: StartCommand, percent = 10, checkpoint = ""): WorkerRun => ({
    task,
    run,
    checkpoint,
    percent,
    measure: 0,
});
