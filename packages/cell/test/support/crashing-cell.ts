/** Simulation of a cell whose workers crash. */
import {
    ManualClock,
    type Milliseconds,
    type TaskAddress,
    type WorkerId,
    workerId,
    type WorkerLife,
    workerLife,
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

/** Time between two polls of all workers. */
const lookInterval: Milliseconds = 50;
/** Time after which a crashed worker is replaced. */
const restartTime: Milliseconds = 3_000;
/** Longer than a restart takes. */
const leaseLength: Milliseconds = 6_000;
/** Time after which a gang member ends because other members have not started. */
const gangWait: Milliseconds = 3_000;
/** Time since the last answer of a worker when its silence is noticed. */
const heardAgo: Milliseconds = 5;

/** A machine on which one worker follows another. */
interface Place {
    address: string;
    worker: WorkerId;
    life: WorkerLife;
    /** When the next worker starts; undefined while one is up. */
    backAt: Milliseconds | undefined;
    /** Until then the worker is unreachable but keeps running. */
    cutUntil: Milliseconds;
    isSilent: boolean;
    leaseUntil: Milliseconds;
    /** Whether its next poll is the first of a link. */
    isNewLink: boolean;
    runs: HeldRun[];
    ended: EndedRun[];
}

interface HeldRun {
    readonly start: StartCommand;
    readonly startedAt: Milliseconds;
}

/** Behaviour of a task on its worker. */
export interface Conduct {
    /** Run time after which the task crashes its worker; undefined for an innocent task. */
    readonly crashesAfter: Milliseconds | undefined;
    /** Duration of the task; infinite for a lasting task. */
    readonly takes: Milliseconds;
    /** Number of gang members that must run at the same time; absent for a task outside a gang. */
    readonly gangSize?: number;
}

/** One crash of a worker. */
export interface Crash {
    readonly at: Milliseconds;
    readonly worker: WorkerId;
    /** The task that caused it; undefined when the worker crashed for another reason. */
    readonly by: TaskAddress | undefined;
    readonly tasks: readonly TaskAddress[];
    readonly backAt: Milliseconds;
}

/**
 * A cell in which some tasks crash every worker that starts them. Crashed workers are replaced at their address after a while,
 * alternately under the same id and under a new one.
 */
export class CrashingCell {
    readonly clock = new ManualClock();
    readonly driver: CellDriver;
    readonly starts: StartCommand[] = [];
    readonly crashes: Crash[] = [];
    /** Decides whether the answer to the next start is lost, although the start is carried out. */
    losesAnswer: () => boolean = () => false;
    readonly #places: Place[] = [];
    #lives = 0;
    #returns = 0;
    #addresses = 0;

    constructor(
        workers: number,
        private readonly conductOf: (task: TaskAddress) => Conduct,
        configuration?: CellConfiguration,
    ) {
        this.driver = new CellDriver(this.clock, configuration);
        for (let index = 0; index < workers; index++) {
            const place: Place = {
                address: "",
                worker: workerId(""),
                life: workerLife(0),
                backAt: undefined,
                cutUntil: 0,
                isSilent: false,
                leaseUntil: 0,
                isNewLink: true,
                runs: [],
                ended: [],
            };
            this.#places.push(place);
            this.#move(place);
            this.#begin(place);
        }
        this.#turn();
    }

    get size(): number {
        return this.#places.length;
    }

    startsOf(task: string): readonly StartCommand[] {
        return this.starts.filter(start => start.task === task);
    }

    pass(duration: Milliseconds): void {
        const end = this.clock.monotonic() + duration;
        while (this.clock.monotonic() < end) {
            this.clock.advance(lookInterval);
            this.step();
        }
    }

    /** Polls all workers once and runs a turn. */
    step(): void {
        const now = this.clock.monotonic();
        for (const place of this.#places) {
            if (place.backAt !== undefined) {
                this.#return(place, now);
            }
            else {
                this.#work(place, now);
            }
        }
        this.driver.cell.tick();
        this.#turn();
    }

    /** Crashes a worker without a faulty task. `isForGood`: it is unlisted, and its successor gets another address. */
    crash(index: number, isForGood = false): void {
        const place = this.#places[index];
        this.#crash(place, undefined);
        if (isForGood) {
            this.driver.cell.changeWorkers([], [place.worker]);
            this.#move(place);
        }
    }

    /** Makes a worker unreachable for a while. */
    cut(index: number, duration: Milliseconds): void {
        this.#places[index].cutUntil = this.clock.monotonic() + duration;
    }

    cutWorker(worker: WorkerId, duration: Milliseconds): void {
        this.cut(this.#places.findIndex(place => place.worker === worker), duration);
    }

    /** Replaces the owner by one that is restored from the persisted records. */
    takeOver(): void {
        const now = this.clock.monotonic();
        this.driver.takeOver();
        const up = this.#places.filter(place => place.backAt === undefined);
        this.driver.cell.listWorkers(up.map(place => this.#entryOf(place)));
        for (const place of this.#places) {
            place.isNewLink = true;
            place.isSilent = false;
            if (place.backAt !== undefined) {
                this.driver.cell.takeSilence(place.worker, now + leaseLength);
            }
        }
        this.#turn();
    }

    #move(place: Place): void {
        place.address = `10.0.0.${++this.#addresses}:80`;
    }

    #entryOf(place: Place): WorkerEntry {
        return makeWorker(place.worker, { worker: place.worker, life: place.life, address: place.address });
    }

    /** Starts the next worker of a machine, under the given id or a new one. */
    #begin(place: Place, id = workerId(`w${this.#lives + 1}`)): void {
        this.#lives++;
        place.worker = id;
        place.life = workerLife(this.#lives);
        this.driver.countAnew(id);
        place.backAt = undefined;
        place.cutUntil = 0;
        place.isSilent = false;
        place.isNewLink = false;
        place.runs = [];
        place.ended = [];
        this.driver.cell.changeWorkers([this.#entryOf(place)], []);
        this.#turn();
        this.#look(place, true);
    }

    #return(place: Place, now: Milliseconds): void {
        if (place.backAt !== undefined && now >= place.backAt) {
            if (this.#returns++ % 2 === 0 && this.driver.cell.workers.has(place.worker)) {
                this.driver.cell.takeRestart(place.worker, workerLife(this.#lives + 1));
                this.#begin(place, place.worker);
                return;
            }
            this.driver.cell.takeOtherLife(place.worker);
            this.#begin(place);
        }
    }

    #work(place: Place, now: Milliseconds): void {
        const culprit = place.runs.find(run => this.#isCrashDue(run, now));
        if (culprit !== undefined) {
            this.#crash(place, culprit.start.task);
            return;
        }
        if (now < place.cutUntil) {
            this.#beCut(place, now);
            return;
        }
        place.runs.filter(run => this.#isAlone(run, now)).forEach(run => this.#end(place, run, RunEnd.Alone));
        const done = place.runs.filter(run => this.#isDone(run, now));
        done.forEach(run => this.#finish(place, run));
        this.#look(place, place.isNewLink);
        place.isNewLink = false;
    }

    /** Members of a gang start to work when all of them are running. */
    #isDone(run: HeldRun, now: Milliseconds): boolean {
        const { takes, gangSize } = this.conductOf(run.start.task);
        if (gangSize === undefined) {
            return now - run.startedAt >= takes;
        }
        const members = this.#membersOf(run);
        return members.length === gangSize
            && members.every(other => now - other.startedAt >= this.conductOf(other.start.task).takes);
    }

    #isAlone(run: HeldRun, now: Milliseconds): boolean {
        const { gangSize } = this.conductOf(run.start.task);
        return gangSize !== undefined && now - run.startedAt >= gangWait && this.#membersOf(run).length < gangSize;
    }

    #membersOf(run: HeldRun): HeldRun[] {
        return this.#places.flatMap(place => place.runs).filter(other => isSameGang(other, run));
    }

    /** Ends a run as done; members of a gang end together. */
    #finish(place: Place, run: HeldRun): void {
        if (this.conductOf(run.start.task).gangSize === undefined) {
            this.#end(place, run, RunEnd.Done);
            return;
        }
        for (const other of this.#places) {
            other.runs.filter(member => isSameGang(member, run)).forEach(member =>
                this.#end(other, member, RunEnd.Done)
            );
        }
    }

    #end(place: Place, run: HeldRun, end: RunEnd): void {
        const { task, run: number } = run.start;
        place.runs = place.runs.filter(other => other !== run);
        place.ended.push(this.driver.ended(place.worker, task, number, end));
    }

    #beCut(place: Place, now: Milliseconds): void {
        if (!place.isSilent) {
            place.isSilent = true;
            this.driver.cell.takeSilence(place.worker, place.leaseUntil, { cause: "no answer", heardAgo });
        }
        if (now > place.leaseUntil) {
            place.runs = [];
        }
    }

    #look(place: Place, isFirst: boolean): void {
        place.isSilent = false;
        place.leaseUntil = this.clock.monotonic() + leaseLength;
        const seen: WorkerRun[] = place.runs.map(({ start, startedAt }) =>
            running(start, this.#percentOf(start.task, startedAt))
        );
        this.driver.look(place.worker, seen, place.ended, isFirst);
    }

    #percentOf(task: TaskAddress, startedAt: Milliseconds): number {
        return Math.min(99, Math.floor(100 * (this.clock.monotonic() - startedAt) / this.conductOf(task).takes));
    }

    #isCrashDue({ start, startedAt }: HeldRun, now: Milliseconds): boolean {
        const { crashesAfter } = this.conductOf(start.task);
        return crashesAfter !== undefined && now - startedAt >= crashesAfter;
    }

    #crash(place: Place, by: TaskAddress | undefined): void {
        if (place.backAt !== undefined) {
            return;
        }
        const now = this.clock.monotonic();
        const backAt = now + restartTime;
        this.crashes.push({ at: now, worker: place.worker, by, tasks: place.runs.map(run => run.start.task), backAt });
        place.runs = [];
        place.backAt = backAt;
        this.driver.cell.takeSilence(place.worker, now + leaseLength, { cause: "connection refused", heardAgo });
    }

    #stop({ worker, task, run }: StopCommand): void {
        const place = this.#places.find(other => other.worker === worker && other.backAt === undefined);
        const held = place?.runs.find(({ start }) => start.task === task && start.run === run);
        if (place !== undefined && held !== undefined && this.clock.monotonic() >= place.cutUntil) {
            this.#end(place, held, RunEnd.Stopped);
        }
    }

    #turn(): void {
        const { starts, stops, acknowledged } = this.driver.run();
        for (const place of this.#places) {
            const through = acknowledged[place.worker] ?? 0;
            place.ended = place.ended.filter(end => end.number > through);
        }
        stops.forEach(stop => this.#stop(stop));
        for (const start of starts) {
            const place = this.#places.find(other => other.worker === start.worker && other.backAt === undefined);
            if (place === undefined || this.clock.monotonic() < place.cutUntil) {
                this.driver.cell.startRefused(start.worker, start.task, start.run, undefined);
                continue;
            }
            this.starts.push(start);
            place.runs.push({ start, startedAt: this.clock.monotonic() });
            if (!this.losesAnswer()) {
                this.driver.confirm(start);
            }
        }
    }
}

const isSameGang = (left: HeldRun, right: HeldRun): boolean =>
    left.start.run === right.start.run && stepOf(left) === stepOf(right);

const stepOf = ({ start: { task } }: HeldRun): string => task.slice(0, task.lastIndexOf("/"));
