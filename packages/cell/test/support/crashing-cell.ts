/**
 * A cell on which some tasks crash each worker that starts them. Each worker is back at its address after a while, half of them under the
 * id that they had.
 */
import {
    ManualClock,
    type Milliseconds,
    type TaskAddress,
    type WorkerId,
    workerId,
    type WorkerIncarnation,
    workerIncarnation,
} from "@pebbledale/core";
import {
    type CellConfiguration,
    type EndedRun,
    RunEnd,
    type StartCommand,
    type StopCommand,
    type WorkerEntry,
    type WorkerRun,
} from "../../src/index.js";
import { makeWorker } from "./builders.js";
import { CellDriver, running } from "./cell-driver.js";

/** Time between two looks at all workers. */
const pollInterval: Milliseconds = 50;
/** How long a crashed worker is away. */
const restartTime: Milliseconds = 3_000;
/** Leases run longer than a worker is away. */
const leaseLength: Milliseconds = 6_000;
/** A member of a gang ends alone when the others are not there by then. */
const gangWait: Milliseconds = 3_000;
/** The last answer of a worker whose machine is up when its port is found closed. */
const heardAgo: Milliseconds = 5;

/** One place at which workers live one after the other. */
interface Host {
    address: string;
    worker: WorkerId;
    life: WorkerIncarnation;
    /** When the next worker comes there; undefined while one is up. */
    backAt: Milliseconds | undefined;
    /** Until then nobody reaches the worker, which runs on. */
    cutUntil: Milliseconds;
    isSilent: boolean;
    leaseUntil: Milliseconds;
    /** Whether its next look is the first of an owner's link. */
    isNewLink: boolean;
    runs: HostRun[];
    ended: EndedRun[];
}

interface HostRun {
    readonly start: StartCommand;
    readonly startedAt: Milliseconds;
}

/** How a task behaves. */
export interface TaskBehaviour {
    /** After this long at work its worker crashes; undefined for a task that crashes none. */
    readonly crashesAfter: Milliseconds | undefined;
    /** How long it takes; infinite for a task that lasts. */
    readonly duration: Milliseconds;
    /** How many tasks work only together; left out for a task that works alone. */
    readonly gangSize?: number;
}

/** One crash of a worker. */
export interface Crash {
    readonly at: Milliseconds;
    readonly worker: WorkerId;
    /** The task that did it; undefined when the worker crashed for a reason of its own. */
    readonly by: TaskAddress | undefined;
    readonly tasks: readonly TaskAddress[];
    readonly backAt: Milliseconds;
}

/** See the module's comment. */
export class CrashingCell {
    readonly clock = new ManualClock();
    readonly driver: CellDriver;
    readonly starts: StartCommand[] = [];
    readonly crashes: Crash[] = [];
    /** Whether the answer to the next start is lost; the start is carried out all the same. */
    losesStartAnswer: () => boolean = () => false;
    readonly #hosts: Host[] = [];
    #incarnations = 0;
    #restarts = 0;
    #addresses = 0;

    /** `conductOf`: how a task behaves. */
    constructor(
        workers: number,
        private readonly behaviourOf: (task: TaskAddress) => TaskBehaviour,
        configuration?: CellConfiguration,
    ) {
        this.driver = new CellDriver(this.clock, configuration);
        for (let index = 0; index < workers; index++) {
            const place: Host = {
                address: "",
                worker: workerId(""),
                life: workerIncarnation(0),
                backAt: undefined,
                cutUntil: 0,
                isSilent: false,
                leaseUntil: 0,
                isNewLink: true,
                runs: [],
                ended: [],
            };
            this.#hosts.push(place);
            this.#assignAddress(place);
            this.#startWorker(place);
        }
        this.#runTurn();
    }

    /** How many places there are. */
    get size(): number {
        return this.#hosts.length;
    }

    /** Starts of one task. */
    startsOf(task: string): readonly StartCommand[] {
        return this.starts.filter(start => start.task === task);
    }

    /** Lets time pass. */
    advance(duration: Milliseconds): void {
        const end = this.clock.monotonic() + duration;
        while (this.clock.monotonic() < end) {
            this.clock.advance(pollInterval);
            this.step();
        }
    }

    /** One look at all workers. */
    step(): void {
        const now = this.clock.monotonic();
        for (const place of this.#hosts) {
            if (place.backAt !== undefined) {
                this.#restartIfDue(place, now);
            }
            else {
                this.#runHost(place, now);
            }
        }
        this.driver.cell.tick();
        this.#runTurn();
    }

    /** A worker crashes for a reason of its own; `isForGood`: the next worker comes at another address. */
    crash(index: number, isForGood = false): void {
        const place = this.#hosts[index];
        this.#crash(place, undefined);
        if (isForGood) {
            this.driver.cell.updateWorkerEntries([], [place.worker]);
            this.#assignAddress(place);
        }
    }

    /** Nobody reaches a worker for a while. */
    cut(index: number, duration: Milliseconds): void {
        this.#hosts[index].cutUntil = this.clock.monotonic() + duration;
    }

    /** Nobody reaches the worker of a name for a while. */
    cutWorker(worker: WorkerId, duration: Milliseconds): void {
        this.cut(this.#hosts.findIndex(place => place.worker === worker), duration);
    }

    /** Another owner takes over with what is kept. */
    takeOver(): void {
        const now = this.clock.monotonic();
        this.driver.takeOver();
        const up = this.#hosts.filter(place => place.backAt === undefined);
        this.driver.cell.replaceWorkerEntries(up.map(place => this.#entryOf(place)));
        for (const place of this.#hosts) {
            place.isNewLink = true;
            place.isSilent = false;
            if (place.backAt !== undefined) {
                this.driver.cell.applySilence(place.worker, now + leaseLength);
            }
        }
        this.#runTurn();
    }

    #assignAddress(place: Host): void {
        place.address = `10.0.0.${++this.#addresses}:80`;
    }

    #entryOf(place: Host): WorkerEntry {
        return makeWorker(place.worker, { worker: place.worker, life: place.life, address: place.address });
    }

    /** Begins a life, under the worker's former id or another. */
    #startWorker(place: Host, id = workerId(`w${this.#incarnations + 1}`)): void {
        this.#incarnations++;
        place.worker = id;
        place.life = workerIncarnation(this.#incarnations);
        this.driver.resetEndNumbers(id);
        place.backAt = undefined;
        place.cutUntil = 0;
        place.isSilent = false;
        place.isNewLink = false;
        place.runs = [];
        place.ended = [];
        this.driver.cell.updateWorkerEntries([this.#entryOf(place)], []);
        this.#runTurn();
        this.#poll(place, true);
    }

    #restartIfDue(place: Host, now: Milliseconds): void {
        if (place.backAt !== undefined && now >= place.backAt) {
            if (this.#restarts++ % 2 === 0 && this.driver.cell.workers.has(place.worker)) {
                this.driver.cell.applyRestart(place.worker, workerIncarnation(this.#incarnations + 1));
                this.#startWorker(place, place.worker);
                return;
            }
            this.driver.cell.applyReplacement(place.worker);
            this.#startWorker(place);
        }
    }

    #runHost(place: Host, now: Milliseconds): void {
        const culprit = place.runs.find(run => this.#isCrashDue(run, now));
        if (culprit !== undefined) {
            this.#crash(place, culprit.start.task);
            return;
        }
        if (now < place.cutUntil) {
            this.#runCutOff(place, now);
            return;
        }
        place.runs.filter(run => this.#isAlone(run, now)).forEach(run => this.#end(place, run, RunEnd.Alone));
        const done = place.runs.filter(run => this.#isDone(run, now));
        done.forEach(run => this.#finish(place, run));
        this.#poll(place, place.isNewLink);
        place.isNewLink = false;
    }

    /** Members of a gang work from the moment that all are there, and one that is done counts for all. */
    #isDone(run: HostRun, now: Milliseconds): boolean {
        const { duration: takes, gangSize } = this.behaviourOf(run.start.task);
        if (gangSize === undefined) {
            return now - run.startedAt >= takes;
        }
        const members = this.#membersOf(run);
        return members.length === gangSize
            && members.every(other => now - other.startedAt >= this.behaviourOf(other.start.task).duration);
    }

    #isAlone(run: HostRun, now: Milliseconds): boolean {
        const { gangSize } = this.behaviourOf(run.start.task);
        return gangSize !== undefined && now - run.startedAt >= gangWait && this.#membersOf(run).length < gangSize;
    }

    #membersOf(run: HostRun): HostRun[] {
        return this.#hosts.flatMap(place => place.runs).filter(other => isSameGang(other, run));
    }

    /** The members of a gang are done together. */
    #finish(place: Host, run: HostRun): void {
        if (this.behaviourOf(run.start.task).gangSize === undefined) {
            this.#end(place, run, RunEnd.Done);
            return;
        }
        for (const other of this.#hosts) {
            other.runs.filter(member => isSameGang(member, run)).forEach(member =>
                this.#end(other, member, RunEnd.Done)
            );
        }
    }

    #end(place: Host, run: HostRun, end: RunEnd): void {
        const { task, run: number } = run.start;
        place.runs = place.runs.filter(other => other !== run);
        place.ended.push(this.driver.ended(place.worker, task, number, end));
    }

    #runCutOff(place: Host, now: Milliseconds): void {
        if (!place.isSilent) {
            place.isSilent = true;
            this.driver.cell.applySilence(place.worker, place.leaseUntil, { cause: "no answer", heardAgo });
        }
        if (now > place.leaseUntil) {
            place.runs = [];
        }
    }

    #poll(place: Host, isFirst: boolean): void {
        place.isSilent = false;
        place.leaseUntil = this.clock.monotonic() + leaseLength;
        const seen: WorkerRun[] = place.runs.map(({ start, startedAt }) =>
            running(start, this.#percentOf(start.task, startedAt))
        );
        this.driver.poll(place.worker, seen, place.ended, isFirst);
    }

    #percentOf(task: TaskAddress, startedAt: Milliseconds): number {
        return Math.min(99, Math.floor(100 * (this.clock.monotonic() - startedAt) / this.behaviourOf(task).duration));
    }

    #isCrashDue({ start, startedAt }: HostRun, now: Milliseconds): boolean {
        const { crashesAfter } = this.behaviourOf(start.task);
        return crashesAfter !== undefined && now - startedAt >= crashesAfter;
    }

    #crash(place: Host, by: TaskAddress | undefined): void {
        if (place.backAt !== undefined) {
            return;
        }
        const now = this.clock.monotonic();
        const backAt = now + restartTime;
        this.crashes.push({ at: now, worker: place.worker, by, tasks: place.runs.map(run => run.start.task), backAt });
        place.runs = [];
        place.backAt = backAt;
        this.driver.cell.applySilence(place.worker, now + leaseLength, { cause: "connection refused", heardAgo });
    }

    #stop({ worker, task, run }: StopCommand): void {
        const place = this.#hosts.find(other => other.worker === worker && other.backAt === undefined);
        const held = place?.runs.find(({ start }) => start.task === task && start.run === run);
        if (place !== undefined && held !== undefined && this.clock.monotonic() >= place.cutUntil) {
            this.#end(place, held, RunEnd.Stopped);
        }
    }

    #runTurn(): void {
        const { starts, stops, acknowledged } = this.driver.run();
        for (const place of this.#hosts) {
            const through = acknowledged[place.worker] ?? 0;
            place.ended = place.ended.filter(end => end.number > through);
        }
        stops.forEach(stop => this.#stop(stop));
        for (const start of starts) {
            const place = this.#hosts.find(other => other.worker === start.worker && other.backAt === undefined);
            if (place === undefined || this.clock.monotonic() < place.cutUntil) {
                this.driver.cell.startRefused(start.worker, start.task, start.run, undefined);
                continue;
            }
            this.starts.push(start);
            place.runs.push({ start, startedAt: this.clock.monotonic() });
            if (!this.losesStartAnswer()) {
                this.driver.confirm(start);
            }
        }
    }
}

const isSameGang = (left: HostRun, right: HostRun): boolean =>
    left.start.run === right.start.run && stepOf(left) === stepOf(right);

const stepOf = ({ start: { task } }: HostRun): string => task.slice(0, task.lastIndexOf("/"));
