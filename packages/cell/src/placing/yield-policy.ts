/** Decides which runs give way to more urgent work. */
import type { Milliseconds } from "@pebbledale/core";
import { compareRanks, rank } from "../choosing/index.js";
import { type CellContext, RunPhase, type Step, type TaskRun } from "../state/index.js";
import { fewestPercentLeft, mostPreemptions, preemptedSlack } from "./constants.js";

/** Decides which runs give way to which steps. */
export interface YieldPolicy {
    /** Whether a run may be stopped to make room for tasks of a step. */
    yieldsTo(run: TaskRun, step: Step, now: Milliseconds): boolean;
}

/** Runs of less urgent queues give way if their progress is saved and their jobs can still be on time. */
export class SavedProgressYields implements YieldPolicy {
    constructor(private readonly context: CellContext) {}

    /** See {@link YieldPolicy.yieldsTo}. */
    yieldsTo(run: TaskRun, step: Step, now: Milliseconds): boolean {
        const { task } = run;
        return task.step.job.terms.priority > step.job.terms.priority
            && isCheapToStop(run)
            && task.preemptions < mostPreemptions
            && this.#hasTime(run, step, now);
    }

    /** Whether the step goes first, and the run's job is on time all the same. */
    #hasTime({ task, percent }: TaskRun, step: Step, now: Milliseconds): boolean {
        const victim = rank(this.context, task.step, now);
        const saved = task.step.definition.estimate * percent / 100;
        const slack = victim.latestStart + saved - now;
        return slack > preemptedSlack && compareRanks(rank(this.context, step, now), victim) < 0;
    }
}

const isCheapToStop = ({ task: { step: { definition } }, phase, stopReason, percent }: TaskRun): boolean =>
    definition.savesProgress
    && !definition.isGang
    && !definition.isLasting
    && phase === RunPhase.AtWork
    && stopReason === undefined
    && percent <= 100 - fewestPercentLeft;
