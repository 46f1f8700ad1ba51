/** Workers of uneven speed under steady load of tasks whose estimates are off, in the tests' time. */
import { logEvents, type Milliseconds, SeededRandom, type WorkerId } from "@pebbledale/core";
import { parseTaskAddress, type StartCommand } from "../../src/index.js";
import { idOf, makeJob, makeStep, makeWorker } from "./builders.js";
import { CellDriver, running } from "./cell-driver.js";

const stepTime: Milliseconds = 50;
const pollInterval: Milliseconds = 600;
/** Workers have eight cores, tasks take one: so much of them is in use. */
const maxUsedShare = 0.85;
const cores = 8;
/** Tasks of one step differ in their work by this share. */
const unevenness = 0.3;

/** What a fleet is made from. */
export interface FleetOptions {
    readonly seed: number;
    /** By worker in turn. */
    readonly speeds: readonly number[];
    readonly workers: number;
    /** Natural logarithm of the factor by which estimates are off at most. */
    readonly estimateError: number;
    /** Tasks of a job and the work of one, from these to these. */
    readonly width: readonly [number, number];
    readonly work: readonly [Milliseconds, Milliseconds];
}

interface FleetRun {
    readonly start: StartCommand;
    readonly work: Milliseconds;
    readonly begunAt: Milliseconds;
    done: Milliseconds;
}

/** See the module's comment. */
export class Fleet {
    readonly driver = new CellDriver();
    /** When workers were judged slow, by worker; of each the first time. */
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

    /** Tasks on these workers take so many times as long from now on; `Infinity` lets them stand still. */
    slowDown(workers: readonly WorkerId[], factor: number): void {
        workers.forEach(id => this.#speeds.set(id, this.#speeds.get(id)! / factor));
    }

    /** Workers with at least so many tasks that have been at work for a time. */
    workersWithTasks(count: number, time: Milliseconds): readonly WorkerId[] {
        const since = this.driver.clock.monotonic() - time;
        const isLongAtWork = ({ begunAt }: FleetRun): boolean => begunAt <= since;
        return [...this.#runs].filter(([, runs]) => runs.filter(isLongAtWork).length >= count).map(([id]) => id);
    }

    /** All workers of the one job that has the most, of those with at most so many. */
    workersOfWidestJob(most: number): readonly WorkerId[] {
        const workers = new Map<string, Set<WorkerId>>();
        for (const [id, runs] of this.#runs) {
            for (const { start } of runs) {
                const { job } = parseTaskAddress(start.task)!;
                workers.set(job, (workers.get(job) ?? new Set()).add(id));
            }
        }
        const jobs = [...workers.values()].filter(({ size }) => size <= most);
        return [...jobs.reduce((widest, other) => other.size > widest.size ? other : widest)];
    }

    /** Lets time pass under load. */
    run(duration: Milliseconds): void {
        const { clock, cell } = this.driver;
        for (let passed = 0; passed < duration; passed += stepTime) {
            clock.advance(stepTime);
            this.#submitJobs();
            this.#work();
            this.#pollDue();
            if (clock.monotonic() % (2 * stepTime) === 0) {
                cell.tick();
            }
            const { starts, stops } = this.driver.run();
            this.driver.confirm(...starts);
            starts.forEach(start => this.#begin(start));
            stops.forEach(stop => {
                const runs = this.#runs.get(stop.worker)!;
                const index = runs.findIndex(({ start }) => start.task === stop.task && start.run === stop.run);
                if (index >= 0) {
                    this.driver.end(runs[index].start);
                    runs.splice(index, 1);
                }
            });
            this.#noteJudgements();
        }
    }

    #between([least, most]: readonly [number, number]): number {
        return least + this.#random.next() * (most - least);
    }

    /** Hands jobs in while there is room. */
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

    #begin(start: StartCommand): void {
        const mean = this.#taskWork.get(parseTaskAddress(start.task)!.job)!;
        const work = mean * this.#between([1 - unevenness, 1 + unevenness]);
        this.#runs.get(start.worker)!.push({ start, work, begunAt: this.driver.clock.monotonic(), done: 0 });
    }

    #work(): void {
        for (const [id, runs] of this.#runs) {
            runs.forEach(run => run.done += stepTime * this.#speeds.get(id)!);
            const ended = runs.filter(({ done, work }) => done >= work);
            this.#runs.set(id, runs.filter(run => !ended.includes(run)));
            ended.forEach(({ start }) => this.driver.end(start));
        }
    }

    /** Workers are looked at in turn. */
    #pollDue(): void {
        const now = this.driver.clock.monotonic();
        [...this.#runs.keys()].forEach((id, index) => {
            if ((now / stepTime + index) % (pollInterval / stepTime) === 0) {
                const runs = this.#runs.get(id)!;
                const shown = runs.map(({ start, done, work }) => running(start, Math.floor(done / work * 100)));
                this.driver.poll(id, shown, [], false);
            }
        });
    }

    #noteJudgements(): void {
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
