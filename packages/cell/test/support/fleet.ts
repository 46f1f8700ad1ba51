/** Simulation of workers of uneven speed. */
import { logEvents, type Milliseconds, SeededRandom, type WorkerId } from "@pebbledale/core";
import { parseTaskAddress, type StartCommand } from "../../src/index.js";
import { idOf, makeJob, makeStep, makeWorker } from "./builders.js";
import { CellDriver, running } from "./cell-driver.js";

const stepTime: Milliseconds = 50;
const pollInterval: Milliseconds = 600;
/** Share of the cores that the load uses; each task needs one core. */
const maxUsedShare = 0.85;
const cores = 8;
/** Maximum relative deviation of a task's work from the mean of its step. */
const unevenness = 0.3;

/** Load and workers of a simulation. */
export interface FleetOptions {
    readonly seed: number;
    /** Speeds, assigned to workers in turn. */
    readonly speeds: readonly number[];
    readonly workers: number;
    /** Maximum error of estimates, as the natural logarithm of their ratio to the mean work. */
    readonly estimateError: number;
    /** Ranges of the number of tasks of a job and of the work of one task. */
    readonly width: readonly [number, number];
    readonly work: readonly [Milliseconds, Milliseconds];
}

interface FleetRun {
    readonly start: StartCommand;
    readonly work: Milliseconds;
    readonly startedAt: Milliseconds;
    done: Milliseconds;
}

/** Runs a steady load of tasks with inaccurate estimates, and records which workers are judged slow. */
export class Fleet {
    readonly driver = new CellDriver();
    /** When each worker was first judged slow. */
    readonly judgedSlowAt = new Map<WorkerId, Milliseconds>();
    readonly #speeds = new Map<WorkerId, number>();
    readonly #runs = new Map<WorkerId, FleetRun[]>();
    readonly #taskWork = new Map<string, Milliseconds>();
    readonly #random: SeededRandom;
    #jobs = 0;
    #logged = 0;

    constructor(private readonly options: FleetOptions) {
        this.#random = new SeededRandom(options.seed);
        for (let index = 0; index < options.workers; index++) {
            const entry = makeWorker(`w${index}`);
            this.#speeds.set(entry.worker, options.speeds[index % options.speeds.length]);
            this.#runs.set(entry.worker, []);
            this.driver.addWorkers(entry);
        }
    }

    /** Multiplies the duration of tasks on these workers from now on; `Infinity` stops them. */
    slowDown(workers: readonly WorkerId[], factor: number): void {
        workers.forEach(id => this.#speeds.set(id, this.#speeds.get(id)! / factor));
    }

    /** Workers with at least `count` tasks that have been running for `time`. */
    workersWithTasks(count: number, time: Milliseconds): readonly WorkerId[] {
        const since = this.driver.clock.monotonic() - time;
        const isLongRunning = ({ startedAt }: FleetRun): boolean => startedAt <= since;
        return [...this.#runs].filter(([, runs]) => runs.filter(isLongRunning).length >= count).map(([id]) => id);
    }

    /** Workers of the job that is spread over the most workers, among jobs on at most `maxWorkers` workers. */
    workersOfWidestJob(maxWorkers: number): readonly WorkerId[] {
        const workers = new Map<string, Set<WorkerId>>();
        for (const [id, runs] of this.#runs) {
            for (const { start } of runs) {
                const { job } = parseTaskAddress(start.task)!;
                workers.set(job, (workers.get(job) ?? new Set()).add(id));
            }
        }
        const jobs = [...workers.values()].filter(({ size }) => size <= maxWorkers);
        return [...jobs.reduce((widest, other) => other.size > widest.size ? other : widest)];
    }

    /** Runs the simulation for a while. */
    run(duration: Milliseconds): void {
        const { clock, cell } = this.driver;
        for (let passed = 0; passed < duration; passed += stepTime) {
            clock.advance(stepTime);
            this.#submitJobs();
            this.#advanceRuns();
            this.#pollDue();
            if (clock.monotonic() % (2 * stepTime) === 0) {
                cell.tick();
            }
            const { starts, stops } = this.driver.run();
            this.driver.confirm(...starts);
            starts.forEach(start => this.#startRun(start));
            stops.forEach(stop => {
                const runs = this.#runs.get(stop.worker)!;
                const index = runs.findIndex(({ start }) => start.task === stop.task && start.run === stop.run);
                if (index >= 0) {
                    this.driver.end(runs[index].start);
                    runs.splice(index, 1);
                }
            });
            this.#recordJudgements();
        }
    }

    #between([min, max]: readonly [number, number]): number {
        return min + this.#random.next() * (max - min);
    }

    /** Submits a job unless enough cores are in use. */
    #submitJobs(): void {
        const inUse = [...this.#runs.values()].reduce((sum, { length }) => sum + length, 0);
        if (inUse > this.options.workers * cores * maxUsedShare) {
            return;
        }
        const { width, work, estimateError } = this.options;
        const id = `job${this.#jobs++}`;
        const mean = this.#between(work);
        const estimate = Math.round(mean * Math.exp(this.#between([-estimateError, estimateError])));
        this.#taskWork.set(id, mean);
        this.driver.cell.submit(makeJob(id, [makeStep({ taskCount: Math.round(this.#between(width)), estimate })]));
    }

    #startRun(start: StartCommand): void {
        const mean = this.#taskWork.get(parseTaskAddress(start.task)!.job)!;
        const work = mean * this.#between([1 - unevenness, 1 + unevenness]);
        this.#runs.get(start.worker)!.push({ start, work, startedAt: this.driver.clock.monotonic(), done: 0 });
    }

    #advanceRuns(): void {
        for (const [id, runs] of this.#runs) {
            runs.forEach(run => run.done += stepTime * this.#speeds.get(id)!);
            const ended = runs.filter(({ done, work }) => done >= work);
            this.#runs.set(id, runs.filter(run => !ended.includes(run)));
            ended.forEach(({ start }) => this.driver.end(start));
        }
    }

    /** Polls the workers whose turn it is. */
    #pollDue(): void {
        const now = this.driver.clock.monotonic();
        [...this.#runs.keys()].forEach((id, index) => {
            if ((now / stepTime + index) % (pollInterval / stepTime) === 0) {
                const runs = this.#runs.get(id)!;
                const reported = runs.map(({ start, done, work }) => running(start, Math.floor(done / work * 100)));
                this.driver.poll(id, reported, [], false);
            }
        });
    }

    #recordJudgements(): void {
        const { logged, clock } = this.driver;
        for (const { event, fields } of logged.slice(this.#logged)) {
            const id = idOf(String(fields["worker"]));
            if (event === logEvents.workerSlow && !this.judgedSlowAt.has(id)) {
                this.judgedSlowAt.set(id, clock.monotonic());
            }
        }
        this.#logged = logged.length;
    }
}
