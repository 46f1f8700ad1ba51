/** Drives a cell's decisions in a test: time, a journal in memory, and what is drained. */
import { type LogEvent, ManualClock, type RunNumber, type TaskAddress } from "@pebbledale/core";
import {
    type AdviceRequest,
    type CellConfiguration,
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

/** What a turn led to, sorted. */
export interface DriverOutput {
    readonly starts: readonly StartCommand[];
    readonly stops: readonly StopCommand[];
    readonly paces: readonly PaceCommand[];
    readonly questions: readonly AdviceRequest[];
    /** Ends that a worker may forget, by its name. */
    readonly acknowledged: Readonly<Record<string, number>>;
}

/** See the module's comment. */
export class CellDriver {
    cell: CellScheduler;
    readonly records: CellRecord[] = [];
    readonly logged: { readonly event: LogEvent; readonly fields: Readonly<Record<string, unknown>>; }[] = [];
    /** Turns whose records are not kept yet. */
    #uncommitted: TurnOutput[] = [];
    #numbers = new Map<string, number>();

    constructor(
        readonly clock = new ManualClock(),
        private readonly configuration: CellConfiguration = makeConfiguration(1, [makeQueue("work")]),
    ) {
        this.cell = this.#makeCell();
    }

    /** Lists workers and lets each answer its first look. */
    addWorkers(...entries: WorkerEntry[]): void {
        this.cell.updateWorkerEntries(entries, []);
        this.run();
        entries.forEach(entry => this.poll(entry.worker));
    }

    /** A look at a worker that shows `running` and `ended`; `isFirst` of a link settles what was sent before. */
    poll(worker: string, running: readonly WorkerRun[] = [], ended: readonly EndedRun[] = [], isFirst = true): void {
        const now = this.clock.monotonic();
        const report: PollResult = { clock: now, running, ended };
        this.cell.applyPoll(idOf(worker), report, now, isFirst ? now : -Infinity);
    }

    /** One turn: places, keeps the records, and tells what is to be sent. */
    run(): DriverOutput {
        this.decide();
        return this.commit();
    }

    /** Places, and leaves the records unkept. */
    decide(): void {
        this.cell.place();
        this.#uncommitted.push(this.cell.drain());
    }

    /** Keeps all records and tells what is to be sent. */
    commit(): DriverOutput {
        const turns = this.#uncommitted;
        this.#uncommitted = [];
        const output = turns.map(turn => this.#commitTurn(turn));
        return {
            starts: output.flatMap(part => part.starts),
            stops: output.flatMap(part => part.stops),
            paces: output.flatMap(part => part.paces),
            questions: output.flatMap(part => part.questions),
            acknowledged: Object.assign({}, ...output.map(part => part.acknowledged)) as Record<string, number>,
        };
    }

    /** The worker of a start confirms it. */
    confirm(...starts: StartCommand[]): void {
        starts.forEach(({ worker, task, run }) => this.cell.startAccepted(worker, task, run));
    }

    /** A worker lists the end of a run. */
    end({ worker, task, run }: StartCommand, end: RunEnd = RunEnd.Done, checkpoint = ""): void {
        this.cell.applyEnds(worker, [this.ended(worker, task, run, end, checkpoint)]);
    }

    /** An end as a worker lists it, with the worker's next number. */
    ended(worker: string, task: TaskAddress, run: RunNumber, end: RunEnd, checkpoint = ""): EndedRun {
        const number = (this.#numbers.get(worker) ?? 0) + 1;
        this.#numbers.set(worker, number);
        return { number, task, run, end, checkpoint };
    }

    /** Another life of a worker counts its ends from 1. */
    resetEndNumbers(worker: string): void {
        this.#numbers.delete(worker);
    }

    /** Another owner takes over with what is kept, and with the configuration or without one. */
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
        const cell = new CellScheduler({ clock: this.clock, log: { log } });
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

/** A run as a worker's look shows it. */
export const running = ({ task, run }: StartCommand, percent = 10, checkpoint = ""): WorkerRun => ({
    task,
    run,
    checkpoint,
    percent,
    measure: 0,
});
