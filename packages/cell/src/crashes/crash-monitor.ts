/** Tasks suspected of crashing their workers. */
import { logEvents, type Milliseconds, type WorkerId, type WorkerIncarnation } from "@pebbledale/core";
import {
    type CellContext,
    type Job,
    type Step,
    type Strike,
    type Task,
    type TaskRun,
    tasksOf,
} from "../state/index.js";
import { explanationBackoffThreshold, explanationWait, maxExplanationDoublings } from "./constants.js";
import { isSeenPastStart, judge, outlives } from "./judgement.js";
import { Trials } from "./trials.js";
import { Judgement } from "./types.js";

/** Waiting tasks of a step by how they may be started. */
export interface PartitionedTasks {
    readonly trusted: readonly Task[];
    /** Tasks that may be started as trials, where there is a worker for them. */
    readonly suspects: readonly Task[];
    /** Whether further tasks have to wait for an explanation of silences. */
    readonly hasPostponed: boolean;
}

/** Figures about suspected tasks. They are logged under these names. */
export interface CrashSummary {
    readonly suspects: number;
    readonly trials: number;
}

/** A worker that was lost while silent. What answers at its address later shows whether it crashed. */
interface LostWorker {
    readonly address: string;
    readonly incarnation: WorkerIncarnation | undefined;
}

/** Follows strikes until they are explained or cleared, and reports tasks that are at fault. */
export class CrashMonitor {
    readonly #jobsWithStrikes = new Set<Job>();
    readonly trials: Trials;
    /** Workers of unproved strikes. */
    readonly #unexplained = new Map<WorkerId, LostWorker>();
    /** Until when tasks wait for an explanation of silences, by the owner's monotonic clock. */
    readonly #postponedUntil = new Map<Task, Milliseconds>();

    /** `giveUp`: called with tasks that are at fault. */
    constructor(private readonly context: CellContext, private readonly giveUp: (task: Task) => void) {
        this.trials = new Trials(context);
    }

    /** Restores the strikes of the journal. */
    recover(): void {
        for (const job of this.context.table.jobs.values()) {
            if (!job.isOver && !job.strikes.isEmpty) {
                this.#jobsWithStrikes.add(job);
                job.strikes.all().forEach(strike => this.#trackSilence(strike));
            }
        }
    }

    addStrike(task: Task, strike: Strike): void {
        this.#jobsWithStrikes.add(task.step.job);
        this.trials.recordLoss(task, strike.run);
        this.#trackSilence(strike);
    }

    /** Resolves the unproved strikes of a worker: it crashed, or it was only unreachable. */
    explain(worker: WorkerId, isCrash: boolean): void {
        if (this.#unexplained.delete(worker)) {
            this.#explainAll(worker, isCrash);
        }
    }

    /** Explains a worker's silence when it answers again: another incarnation proves a crash, the same one disproves it. */
    noteAnswer(worker: WorkerId, incarnation: WorkerIncarnation | undefined): void {
        const lost = this.#unexplained.get(worker)?.incarnation;
        this.explain(worker, lost !== undefined && incarnation !== undefined && lost !== incarnation);
    }

    /** Explains the silence of workers at an address at which a new worker is listed: they have crashed. */
    noteNewWorker(worker: WorkerId, address: string): void {
        for (const [silent, lost] of this.#unexplained) {
            if (lost.address === address && silent !== worker) {
                this.explain(silent, true);
            }
        }
    }

    /** Sorts the waiting tasks of a step by how they may be started now. */
    partition(step: Step, waiting: readonly Task[], now: Milliseconds): PartitionedTasks {
        const { strikes } = step.job;
        if (strikes.isEmpty) {
            return { trusted: waiting, suspects: [], hasPostponed: false };
        }
        const trusted = waiting.filter(task => judge(strikes.of(task.address)) === Judgement.Trusted);
        const others = waiting.filter(task => !trusted.includes(task));
        const suspects = others.filter(task => !this.#isPostponed(task, now));
        return { trusted, suspects, hasPostponed: suspects.length < others.length };
    }

    /** Whether a speculative copy of a run may be started. A task with strikes has one run at a time. */
    allowsCopy({ task }: TaskRun): boolean {
        return task.step.job.strikes.of(task.address).length === 0;
    }

    /** Ends decided trials and clears tasks whose runs have outlived their strikes. */
    tick(): void {
        this.trials.tick();
        for (const job of this.#jobsWithStrikes) {
            if (job.isOver || job.strikes.isEmpty) {
                this.#jobsWithStrikes.delete(job);
            }
            else {
                tasksOf(job).forEach(task => {
                    this.#clearIfOutlived(task);
                    this.#recordPastStart(task);
                });
            }
        }
        for (const task of this.#postponedUntil.keys()) {
            if (task.step.job.isOver) {
                this.#postponedUntil.delete(task);
            }
        }
    }

    summary(): CrashSummary {
        let suspects = 0;
        for (const job of this.#jobsWithStrikes) {
            suspects += new Set(job.strikes.all().map(strike => strike.task)).size;
        }
        return { suspects, trials: this.trials.count };
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

    #clearIfOutlived(task: Task): void {
        const { strikes } = task.step.job;
        const strikesOfTask = strikes.of(task.address);
        const run = strikesOfTask.length === 0 ? undefined : task.runs.find(other => outlives(other, strikesOfTask));
        if (run === undefined) {
            return;
        }
        this.context.record({ kind: "cleared", task: task.address });
        this.context.options.log.log(logEvents.taskCleared, {
            task: task.address,
            run: run.run,
            worker: run.worker.id,
            strikes: strikesOfTask.length,
        });
    }

    /** Records that runs of a task with strikes are past their start, which a later owner could not know. */
    #recordPastStart(task: Task): void {
        if (task.step.job.strikes.of(task.address).length === 0) {
            return;
        }
        for (const run of task.runs) {
            // A run that its worker reports again after it was taken for lost is not open, and could not be marked.
            const open = task.openRuns.get(run.run);
            const isUnrecorded = open !== undefined && open.isPastStart !== true;
            if (isUnrecorded && run.formerIncarnation === undefined && isSeenPastStart(run)) {
                this.context.record({ kind: "past-start", task: task.address, run: run.run });
            }
        }
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
