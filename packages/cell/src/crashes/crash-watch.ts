/** Keeps what is known of crashes from loss to judgement: silences that wait for an explanation, trials, tasks that are cleared. */
import {
    logEvents,
    type Milliseconds,
    type ServiceName,
    type WorkerId,
    type WorkerIncarnation,
} from "@pebbledale/core";
import {
    type CellContext,
    type Job,
    type Step,
    type Strike,
    type Task,
    type TaskRun,
    tasksOf,
} from "../state/index.js";
import {
    explanationBackoffThreshold,
    explanationWait,
    maxExplanationDoublings,
    maxSilentShare,
    maxTrialShare,
} from "./constants.js";
import { judge, outlives } from "./judgement.js";
import { Judgement } from "./types.js";

/** Waiting tasks of a step by what they may do. */
export interface PartitionedTasks {
    readonly trusted: readonly Task[];
    /** Tasks that may be tried apart now. */
    readonly suspects: readonly Task[];
    /** Whether other tasks wait for their trial, or for word of silent workers. */
    readonly hasPostponed: boolean;
}

/** How many tasks and jobs are under suspicion. */
export interface CrashSummary {
    readonly suspects: number;
    readonly trials: number;
}

/** A worker that was lost as silent: what answers there later tells whether it crashed. */
interface LostWorker {
    readonly address: string;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** See the module's comment. */
export class CrashMonitor {
    /** Jobs with anything held against a task. */
    readonly #jobsWithStrikes = new Set<Job>();
    readonly #trials = new Set<TaskRun>();
    /** Workers of strikes that are not explained. */
    readonly #unexplained = new Map<WorkerId, LostWorker>();
    /** Until when tasks wait for word of silent workers, by the owner's monotonic clock. */
    readonly #postponedUntil = new Map<Task, Milliseconds>();

    /** `giveUp`: told of tasks at fault. */
    constructor(private readonly context: CellContext, private readonly giveUp: (task: Task) => void) {}

    /** Takes over what the journal holds against tasks. */
    recover(): void {
        for (const job of this.context.table.jobs.values()) {
            if (!job.isOver && !job.strikes.isEmpty) {
                this.#jobsWithStrikes.add(job);
                job.strikes.all().forEach(strike => this.#trackSilence(strike));
            }
        }
    }

    /** A strike was recorded. */
    addStrike({ step: { job } }: Task, strike: Strike): void {
        this.#jobsWithStrikes.add(job);
        this.#trackSilence(strike);
    }

    /** A run is tried apart from others. */
    beginTrial(run: TaskRun): void {
        this.#trials.add(run);
        this.context.options.log.log(logEvents.taskOnTrial, {
            task: run.task.address,
            run: run.run,
            worker: run.worker.id,
            beside: run.worker.runs.size - 1,
            strikes: run.task.step.job.strikes.of(run.task.address).length,
        });
    }

    /** Word of a lost worker: it crashed, or it lived on. */
    explain(worker: WorkerId, isCrash: boolean): void {
        if (this.#unexplained.delete(worker)) {
            this.#explainAll(worker, isCrash);
        }
    }

    /** A life of a worker answers: the one that fell silent lived on if it is the same, and has crashed if it is another. */
    noteAnswer(worker: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        const lost = this.#unexplained.get(worker)?.incarnation;
        this.explain(worker, lost !== undefined && incarnation !== undefined && lost !== incarnation);
    }

    /** A worker that was not known is listed at an address: whoever was there before and is silent has crashed. */
    noteNewWorker(worker: WorkerId, address: string): void {
        for (const [silent, lost] of this.#unexplained) {
            if (lost.address === address && silent !== worker) {
                this.explain(silent, true);
            }
        }
    }

    /** Sorts waiting tasks of a step by what they may do now. */
    partition(step: Step, waiting: readonly Task[], now: Milliseconds): PartitionedTasks {
        const { strikes } = step.job;
        if (strikes.isEmpty) {
            return { trusted: waiting, suspects: [], hasPostponed: false };
        }
        const trusted = waiting.filter(task => judge(strikes.of(task.address)) === Judgement.Trusted);
        const others = waiting.filter(task => !trusted.includes(task));
        const suspects = others.length > 0 && this.#mayStartTrial(step)
            ? others.filter(task => !this.#isPostponed(task, now))
            : [];
        return { trusted, suspects, hasPostponed: suspects.length < others.length };
    }

    /** Whether a copy of a run may be started beside it: a task that workers may have crashed under has one run at a time. */
    allowsCopy({ task }: TaskRun): boolean {
        return task.step.job.strikes.of(task.address).length === 0;
    }

    /** Looks at which runs have outlived what is held against their tasks. */
    tick(): void {
        this.#trials.forEach(run => this.#endIfDecided(run));
        for (const job of this.#jobsWithStrikes) {
            if (job.isOver || job.strikes.isEmpty) {
                this.#jobsWithStrikes.delete(job);
            }
            else {
                tasksOf(job).forEach(task => this.#clearIfOutlived(task));
            }
        }
        for (const task of this.#postponedUntil.keys()) {
            if (task.step.job.isOver) {
                this.#postponedUntil.delete(task);
            }
        }
    }

    /** Figures for logs and metrics. */
    summary(): CrashSummary {
        let suspects = 0;
        for (const job of this.#jobsWithStrikes) {
            suspects += new Set(job.strikes.all().map(strike => strike.task)).size;
        }
        return { suspects, trials: this.#trials.size };
    }

    #trackSilence({ worker, address, life, isProved }: Strike): void {
        if (!isProved) {
            this.#unexplained.set(worker, { address, incarnation: life });
        }
    }

    #explainAll(worker: WorkerId, isCrash: boolean): void {
        for (const job of this.#jobsWithStrikes) {
            const open = job.strikes.all().filter(strike => !strike.isProved && strike.worker === worker);
            open.forEach(strike => this.#explainStrike(strike, isCrash));
        }
    }

    #explainStrike({ task: address, run, worker }: Strike, isCrash: boolean): void {
        const { table, options } = this.context;
        const task = table.taskOf(address);
        if (task === undefined) {
            return;
        }
        this.context.record({ kind: "explained", task: address, run, isCrash });
        options.log.log(logEvents.silenceExplained, { task: address, run, worker, isCrash });
        this.#postponedUntil.delete(task);
        const { job } = task.step;
        if (!job.isOver && judge(job.strikes.of(address)) === Judgement.AtFault) {
            this.giveUp(task);
        }
    }

    /** A trial ends with its run or its job, or once the run has outlived what is held against its task. */
    #endIfDecided(run: TaskRun): void {
        const { task } = run;
        const { job } = task.step;
        if (!task.runs.includes(run) || job.isOver || outlives(run, job.strikes.of(task.address))) {
            run.worker.endTrial(run);
            this.#trials.delete(run);
        }
    }

    #clearIfOutlived(task: Task): void {
        const { strikes } = task.step.job;
        const held = strikes.of(task.address);
        const run = held.length === 0 ? undefined : task.runs.find(other => outlives(other, held));
        if (run === undefined) {
            return;
        }
        this.context.record({ kind: "cleared", task: task.address });
        this.context.options.log.log(logEvents.taskCleared, {
            task: task.address,
            run: run.run,
            worker: run.worker.id,
            strikes: held.length,
        });
    }

    /** One trial a job at a time, a few in all, and none while too much of the service is away. */
    #mayStartTrial({ job }: Step): boolean {
        const { service } = job.terms;
        let trials = 0;
        for (const { task: { step } } of this.#trials) {
            if (step.job === job) {
                return false;
            }
            trials += step.job.terms.service === service ? 1 : 0;
        }
        const { all, silent } = this.#countWorkers(service);
        return silent <= Math.max(1, all * maxSilentShare) && trials < Math.max(1, Math.floor(all * maxTrialShare));
    }

    #countWorkers(service: ServiceName): { readonly all: number; readonly silent: number; } {
        let all = 0;
        let silent = 0;
        for (const { entry, silentSince } of this.context.workers.values()) {
            const isOfService = entry?.service === service;
            all += isOfService ? 1 : 0;
            silent += isOfService && silentSince !== undefined ? 1 : 0;
        }
        return { all, silent };
    }

    #isPostponed(task: Task, now: Milliseconds): boolean {
        const strikes = task.step.job.strikes.of(task.address);
        if (judge(strikes) !== Judgement.Unclear) {
            return false;
        }
        const unexplained = strikes.filter(strike => !strike.isProved).length;
        const doublings = Math.min(maxExplanationDoublings, Math.max(0, unexplained - explanationBackoffThreshold));
        const wait = explanationWait * 2 ** doublings;
        const until = this.#postponedUntil.get(task) ?? now + wait;
        this.#postponedUntil.set(task, until);
        return now < until;
    }
}
