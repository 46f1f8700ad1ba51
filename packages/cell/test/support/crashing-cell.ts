/** Simulation of a cell whose workers crash. */
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

/** Time between two polls of all workers. */
const pollInterval: Milliseconds = 50;
/** Time after which a crashed worker is replaced. */
const restartTime: Milliseconds = 3_000;
/** Longer than a restart takes. */
const leaseDuration: Milliseconds = 6_000;
/** Time after which a gang member ends because other members have not started. */
const gangWait: Milliseconds = 3_000;
/** Time since the last answer of a worker when its silence is noticed. */
const heardAgo: Milliseconds = 5;

/** A machine on which one worker follows another. */
interface Host {
    address: string;
    worker: WorkerId;
    incarnation: WorkerIncarnation;
    /** When the next worker starts; undefined while one is up. */
    backAt: Milliseconds | undefined;
    /** Until then the worker is unreachable but keeps running. */
    unreachableUntil: Milliseconds;
    isSilent: boolean;
    leaseUntil: Milliseconds;
    /** Whether its next poll is the first of a link. */
    isNewLink: boolean;
    runs: HostRun[];
    ended: EndedRun[];
}

interface HostRun {
    readonly start: StartCommand;
    readonly startedAt: Milliseconds;
}

/** Behaviour of a task on its worker. */
export interface TaskBehaviour {
    /** Run time after which the task crashes its worker; undefined for an innocent task. */
    readonly crashesAfter: Milliseconds | undefined;
    /** Duration of the task; infinite for a long-running task. */
    readonly duration: Milliseconds;
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
    losesStartAnswer: () => boolean = () => false;
    readonly #hosts: Host[] = [];
    #incarnations = 0;
    #restarts = 0;
    #addresses = 0;

    constructor(
        workers: number,
        private readonly behaviourOf: (task: TaskAddress) => TaskBehaviour,
        configuration?: CellConfiguration,
    ) {
        this.driver = new CellDriver(this.clock, configuration);
        for (let index = 0; index < workers; index++) {
            const host: Host = {
                address: "",
                worker: workerId(""),
                incarnation: workerIncarnation(0),
                backAt: undefined,
                unreachableUntil: 0,
                isSilent: false,
                leaseUntil: 0,
                isNewLink: true,
                runs: [],
                ended: [],
            };
            this.#hosts.push(host);
            this.#assignAddress(host);
            this.#startWorker(host);
        }
        this.#runTurn();
    }

    get size(): number {
        return this.#hosts.length;
    }

    startsOf(task: string): readonly StartCommand[] {
        return this.starts.filter(start => start.task === task);
    }

    advance(duration: Milliseconds): void {
        const end = this.clock.monotonic() + duration;
        while (this.clock.monotonic() < end) {
            this.clock.advance(pollInterval);
            this.step();
        }
    }

    /** Polls all workers once and runs a turn. */
    step(): void {
        const now = this.clock.monotonic();
        for (const host of this.#hosts) {
            if (host.backAt !== undefined) {
                this.#restartIfDue(host, now);
            }
            else {
                this.#runHost(host, now);
            }
        }
        this.driver.cell.tick();
        this.#runTurn();
    }

    /** Crashes a worker without a faulty task. `isForGood`: it is unlisted, and its successor gets another address. */
    crash(index: number, isForGood = false): void {
        const host = this.#hosts[index];
        this.#crash(host, undefined);
        if (isForGood) {
            this.driver.cell.updateWorkerEntries([], [host.worker]);
            this.#assignAddress(host);
        }
    }

    crashWorker(worker: WorkerId): void {
        this.crash(this.#hosts.findIndex(host => host.worker === worker));
    }

    /** Crashes a number of workers other than the given one. */
    crashOthers(worker: WorkerId | undefined, count: number): void {
        const up = this.#hosts.filter(host => host.worker !== worker && host.backAt === undefined);
        up.slice(0, count).forEach(host => this.#crash(host, undefined));
    }

    /** Makes a worker unreachable for a while. */
    disconnect(index: number, duration: Milliseconds): void {
        this.#hosts[index].unreachableUntil = this.clock.monotonic() + duration;
    }

    disconnectWorker(worker: WorkerId, duration: Milliseconds): void {
        this.disconnect(this.#hosts.findIndex(host => host.worker === worker), duration);
    }

    /** Replaces the owner by one that is restored from the committed records. */
    takeOver(): void {
        const now = this.clock.monotonic();
        this.driver.takeOver();
        const up = this.#hosts.filter(host => host.backAt === undefined);
        this.driver.cell.replaceWorkerEntries(up.map(host => this.#entryOf(host)));
        for (const host of this.#hosts) {
            host.isNewLink = true;
            host.isSilent = false;
            if (host.backAt !== undefined) {
                this.driver.cell.applySilence(host.worker, now + leaseDuration);
            }
        }
        this.#runTurn();
    }

    #assignAddress(host: Host): void {
        host.address = `10.0.0.${++this.#addresses}:80`;
    }

    #entryOf(host: Host): WorkerEntry {
        return makeWorker(host.worker, { worker: host.worker, life: host.incarnation, address: host.address });
    }

    /** Starts the next worker of a machine, under the given id or a new one. */
    #startWorker(host: Host, id = workerId(`w${this.#incarnations + 1}`)): void {
        this.#incarnations++;
        host.worker = id;
        host.incarnation = workerIncarnation(this.#incarnations);
        this.driver.resetEndNumbers(id);
        host.backAt = undefined;
        host.unreachableUntil = 0;
        host.isSilent = false;
        host.isNewLink = false;
        host.runs = [];
        host.ended = [];
        this.driver.cell.updateWorkerEntries([this.#entryOf(host)], []);
        this.#runTurn();
        this.#poll(host, true);
    }

    #restartIfDue(host: Host, now: Milliseconds): void {
        if (host.backAt !== undefined && now >= host.backAt) {
            if (this.#restarts++ % 2 === 0 && this.driver.cell.workers.has(host.worker)) {
                this.driver.cell.applyRestart(host.worker, workerIncarnation(this.#incarnations + 1));
                this.#startWorker(host, host.worker);
                return;
            }
            this.driver.cell.applyReplacement(host.worker);
            this.#startWorker(host);
        }
    }

    #runHost(host: Host, now: Milliseconds): void {
        const culprit = host.runs.find(run => this.#isCrashDue(run, now));
        if (culprit !== undefined) {
            this.#crash(host, culprit.start.task);
            return;
        }
        if (now < host.unreachableUntil) {
            this.#runDisconnected(host, now);
            return;
        }
        host.runs.filter(run => this.#isAlone(run, now)).forEach(run => this.#end(host, run, RunEnd.Alone));
        const done = host.runs.filter(run => this.#isDone(run, now));
        done.forEach(run => this.#finish(host, run));
        this.#poll(host, host.isNewLink);
        host.isNewLink = false;
    }

    /** Whether a run has done its work; members of a gang work only while all of them are running. */
    #isDone(run: HostRun, now: Milliseconds): boolean {
        const { duration, gangSize } = this.behaviourOf(run.start.task);
        if (gangSize === undefined) {
            return now - run.startedAt >= duration;
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
        return this.#hosts.flatMap(host => host.runs).filter(other => isSameGang(other, run));
    }

    /** Ends a run as done; members of a gang end together. */
    #finish(host: Host, run: HostRun): void {
        if (this.behaviourOf(run.start.task).gangSize === undefined) {
            this.#end(host, run, RunEnd.Done);
            return;
        }
        for (const other of this.#hosts) {
            other.runs.filter(member => isSameGang(member, run)).forEach(member =>
                this.#end(other, member, RunEnd.Done)
            );
        }
    }

    #end(host: Host, run: HostRun, end: RunEnd): void {
        const { task, run: number } = run.start;
        host.runs = host.runs.filter(other => other !== run);
        host.ended.push(this.driver.ended(host.worker, task, number, end));
    }

    #runDisconnected(host: Host, now: Milliseconds): void {
        if (!host.isSilent) {
            host.isSilent = true;
            this.driver.cell.applySilence(host.worker, host.leaseUntil, { cause: "no answer", heardAgo });
        }
        if (now > host.leaseUntil) {
            host.runs = [];
        }
    }

    #poll(host: Host, isFirst: boolean): void {
        host.isSilent = false;
        host.leaseUntil = this.clock.monotonic() + leaseDuration;
        const reported: WorkerRun[] = host.runs.map(({ start, startedAt }) =>
            running(start, this.#percentOf(start.task, startedAt))
        );
        this.driver.poll(host.worker, reported, host.ended, isFirst);
    }

    #percentOf(task: TaskAddress, startedAt: Milliseconds): number {
        return Math.min(99, Math.floor(100 * (this.clock.monotonic() - startedAt) / this.behaviourOf(task).duration));
    }

    #isCrashDue({ start, startedAt }: HostRun, now: Milliseconds): boolean {
        const { crashesAfter } = this.behaviourOf(start.task);
        return crashesAfter !== undefined && now - startedAt >= crashesAfter;
    }

    #crash(host: Host, by: TaskAddress | undefined): void {
        if (host.backAt !== undefined) {
            return;
        }
        const now = this.clock.monotonic();
        const backAt = now + restartTime;
        this.crashes.push({ at: now, worker: host.worker, by, tasks: host.runs.map(run => run.start.task), backAt });
        host.runs = [];
        host.backAt = backAt;
        this.driver.cell.applySilence(host.worker, now + leaseDuration, { cause: "connection refused", heardAgo });
    }

    #stop({ worker, task, run }: StopCommand): void {
        const host = this.#hosts.find(other => other.worker === worker && other.backAt === undefined);
        const hostRun = host?.runs.find(({ start }) => start.task === task && start.run === run);
        if (host !== undefined && hostRun !== undefined && this.clock.monotonic() >= host.unreachableUntil) {
            this.#end(host, hostRun, RunEnd.Stopped);
        }
    }

    #runTurn(): void {
        const { starts, stops, acknowledged } = this.driver.run();
        for (const host of this.#hosts) {
            const through = acknowledged[host.worker] ?? 0;
            host.ended = host.ended.filter(end => end.number > through);
        }
        stops.forEach(stop => this.#stop(stop));
        for (const start of starts) {
            const host = this.#hosts.find(other => other.worker === start.worker && other.backAt === undefined);
            if (host === undefined || this.clock.monotonic() < host.unreachableUntil) {
                this.driver.cell.startRefused(start.worker, start.task, start.run, undefined);
                continue;
            }
            this.starts.push(start);
            host.runs.push({ start, startedAt: this.clock.monotonic() });
            if (!this.losesStartAnswer()) {
                this.driver.confirm(start);
            }
        }
    }
}

const isSameGang = (left: HostRun, right: HostRun): boolean =>
    left.start.run === right.start.run && stepOf(left) === stepOf(right);

const stepOf = ({ start: { task } }: HostRun): string => task.slice(0, task.lastIndexOf("/"));
