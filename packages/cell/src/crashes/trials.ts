/** Trials of suspected tasks, and which workers may be used for them. */
import { logEvents, type Milliseconds, type RunNumber, type ServiceName } from "@pebbledale/core";
import { type CellContext, type Job, type Task, TaskPhase, type TaskRun, type WorkerState } from "../state/index.js";
import { maxPassingTrialShare, maxSilentShare, maxTrialShare, passedTrialMemory } from "./constants.js";
import { isPastStart, needsIsolation, outlives } from "./judgement.js";

/** Trials of a service that have passed since one lost its worker. */
interface PassedTrials {
    readonly count: number;
    readonly lastAt: Milliseconds;
}

/**
 * Runs of suspected tasks on workers that get no other new runs meanwhile. Each such worker may be lost, so their number is limited. Suspects
 * of a series of losses, most of which are innocent, share workers, as they would otherwise wait for each other; others are tried apart from
 * other jobs, so that no other suspect can be the cause.
 */
export class Trials {
    readonly #runs = new Set<TaskRun>();
    /** By service, how many further workers may be used for trials; determined once a cycle. */
    readonly #freeWorkers = new Map<ServiceName, number>();
    /** By service, the trials that have passed since one lost its worker. */
    readonly #passed = new Map<ServiceName, PassedTrials>();

    constructor(private readonly context: CellContext) {}

    get count(): number {
        return this.#runs.size;
    }

    /** Starts a scheduling cycle. */
    beginCycle(): void {
        this.#freeWorkers.clear();
    }

    /** Starts to follow a run that was ordered as a trial. */
    begin(run: TaskRun): void {
        const { task, worker } = run;
        const { service } = task.step.job.terms;
        this.#freeWorkers.set(
            service,
            this.#freeWorkersOf(service) - (worker.trialRuns === 1 && hasStrikes(run) ? 1 : 0),
        );
        this.#runs.add(run);
        this.context.options.log.log(logEvents.taskOnTrial, {
            task: task.address,
            run: run.run,
            worker: worker.id,
            beside: worker.runs.size - 1,
            strikes: task.step.job.strikes.of(task.address).length,
        });
    }

    /** Ends each trial whose run or job is over, or whose run has outlived the strikes against its task. */
    tick(): void {
        const passed = new Map<WorkerState, ServiceName>();
        for (const run of this.#runs) {
            const { task, worker } = run;
            const { job } = task.step;
            const hasPassed = task.phase === TaskPhase.Done || outlives(run, job.strikes.of(task.address));
            if (hasPassed) {
                passed.set(worker, job.terms.service);
            }
            if (hasPassed || job.isOver || !task.runs.includes(run)) {
                worker.endTrial(run);
                this.#runs.delete(run);
            }
        }
        passed.forEach(service => this.#recordPassed(service));
    }

    /** Records that a run was lost with its worker. If it was on trial, no more workers than usual are used for trials for now. */
    recordLoss({ address, step }: Task, number: RunNumber): void {
        for (const run of this.#runs) {
            if (run.task.address === address && run.run === number) {
                this.#runs.delete(run);
                this.#passed.delete(step.job.terms.service);
            }
        }
    }

    /** Whether a suspected task may be tried at a worker now, as far as other trials are concerned. */
    mayTryAt(worker: WorkerState, task: Task): boolean {
        if (worker.trialRuns === 0) {
            return [...worker.runs.values()].every(isPastStart) && this.#freeWorkersOf(task.step.job.terms.service) > 0;
        }
        return !needsIsolation(task)
            && ![...worker.runs.values()].some(({ isTrial, task: other }) =>
                isTrial && (needsIsolation(other) || other.step.definition.isGang)
            );
    }

    /** Whether a gang with suspected members may be tried now. Its members start at once, at workers of their own. */
    mayTryGang({ step }: Task): boolean {
        return !this.#hasTrial(other => other.step.job === step.job)
            && this.#freeWorkersOf(step.job.terms.service) > 0;
    }

    /** Whether tasks of a job are being tried apart from other jobs: a job with many tasks at fault takes one worker at a time. */
    hasIsolated(job: Job): boolean {
        return this.#hasTrial(other => other.step.job === job && needsIsolation(other));
    }

    #recordPassed(service: ServiceName): void {
        this.#passed.set(service, { count: this.#passedIn(service) + 1, lastAt: this.context.now() });
    }

    #passedIn(service: ServiceName): number {
        const passed = this.#passed.get(service);
        return passed === undefined || this.context.now() - passed.lastAt > passedTrialMemory ? 0 : passed.count;
    }

    #hasTrial(matches: (task: Task) => boolean): boolean {
        for (const { task } of this.#runs) {
            if (matches(task)) {
                return true;
            }
        }
        return false;
    }

    #freeWorkersOf(service: ServiceName): number {
        const known = this.#freeWorkers.get(service);
        if (known !== undefined) {
            return known;
        }
        const free = this.#countFreeWorkers(service);
        this.#freeWorkers.set(service, free);
        return free;
    }

    #countFreeWorkers(service: ServiceName): number {
        let all = 0;
        let silent = 0;
        for (const { entry, silentSince } of this.context.workers.values()) {
            const isOfService = entry?.service === service;
            all += isOfService ? 1 : 0;
            silent += isOfService && silentSince !== undefined ? 1 : 0;
        }
        if (silent > Math.max(1, all * maxSilentShare)) {
            return 0;
        }
        const initial = Math.max(1, Math.floor(all * maxTrialShare));
        const raised = Math.min(initial + this.#passedIn(service), Math.floor(all * maxPassingTrialShare));
        return Math.max(initial, raised) - this.#countWorkersAtRisk(service);
    }

    /** Counts workers with suspected tasks on trial. Unsuspected members of a gang on trial put no worker at risk. */
    #countWorkersAtRisk(service: ServiceName): number {
        const workers = new Set<WorkerState>();
        for (const run of this.#runs) {
            if (run.task.step.job.terms.service === service && hasStrikes(run)) {
                workers.add(run.worker);
            }
        }
        return workers.size;
    }
}

const hasStrikes = ({ task: { address, step } }: TaskRun): boolean => step.job.strikes.of(address).length > 0;
