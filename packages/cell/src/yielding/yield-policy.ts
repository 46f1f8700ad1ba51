/** Decides which runs give way to more urgent work. */
import type { Milliseconds } from "@pebbledale/core";
import { compareRanks, hasSlack, rank, type RankedStep } from "../choosing/index.js";
import { type CellContext, RunPhase, type Step, type TaskRun } from "../state/index.js";
import { leastPercentLeft, leastSlackToYield, mostPreemptions } from "./constants.js";

/** Decides which runs give way to which steps. */
export interface YieldPolicy {
    /** Whether a run may be stopped to make room for tasks of a step. */
    yieldsTo(run: TaskRun, step: Step, now: Milliseconds): boolean;
    /** Whether a run may be stopped for work of a priority that is still to come: its job has ample time. */
    yieldsToPriority(run: TaskRun, priority: number, now: Milliseconds): boolean;
}

/** Runs of less urgent queues give way if their progress is saved and their jobs can still be on time. */
export class SavedProgressYields implements YieldPolicy {
    constructor(private readonly context: CellContext) {}

    /** See {@link YieldPolicy.yieldsTo}. */
    yieldsTo(run: TaskRun, step: Step, now: Milliseconds): boolean {
        return mayGiveWay(run, step.job.terms.priority) && this.#hasTime(run, step, now);
    }

    /** See {@link YieldPolicy.yieldsToPriority}. */
    yieldsToPriority(run: TaskRun, priority: number, now: Milliseconds): boolean {
        const { step } = run.task;
        return mayGiveWay(run, priority) && hasSlack(step, slackOf(run, rank(this.context, step, now), now));
    }

    /** Whether the step goes first, and the run's job is on time all the same. */
    #hasTime(run: TaskRun, step: Step, now: Milliseconds): boolean {
        const victim = rank(this.context, run.task.step, now);
        return slackOf(run, victim, now) > leastSlackToYield && compareRanks(rank(this.context, step, now), victim) < 0;
    }
}

const mayGiveWay = (run: TaskRun, priority: number): boolean =>
    run.task.step.job.terms.priority > priority && isCheapToStop(run) && run.task.preemptions < mostPreemptions;

/** How much time a run's job has to spare, were the run stopped now. */
const slackOf = ({ task, percent }: TaskRun, { latestStart }: RankedStep, now: Milliseconds): Milliseconds =>
    latestStart + task.step.definition.estimate * percent / 100 - now;

const isCheapToStop = ({ task: { step: { definition } }, phase, stopReason, percent }: TaskRun): boolean =>
    definition.savesProgress
    && !definition.isGang
    && !definition.isLasting
    && phase === RunPhase.AtWork
    && stopReason === undefined
    && percent <= 100 - leastPercentLeft;
