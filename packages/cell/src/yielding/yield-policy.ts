/** Decides which runs give way to more urgent work. */
import type { Milliseconds } from "@pebbledale/core";
import { compareRanks, hasSlack, type RankedStep, rankStep } from "../choosing/index.js";
import { type CellContext, RunPhase, type Step, type TaskRun } from "../state/index.js";
import { maxPreemptions, minPercentLeft, minSlackToPreempt } from "./constants.js";

/** Decides which runs give way to which steps. */
export interface PreemptionPolicy {
    /** Whether a run may be stopped to make room for tasks of a step. */
    mayPreemptFor(run: TaskRun, step: Step, now: Milliseconds): boolean;
    /** Whether a run may be stopped for work of a priority that is still to come: its job has ample time. */
    mayPreemptForPriority(run: TaskRun, priority: number, now: Milliseconds): boolean;
}

/** Runs of less urgent queues give way if their progress is saved and their jobs can still be on time. */
export class SavedProgressPreemption implements PreemptionPolicy {
    constructor(private readonly context: CellContext) {}

    /** See {@link PreemptionPolicy.mayPreemptFor}. */
    mayPreemptFor(run: TaskRun, step: Step, now: Milliseconds): boolean {
        return isPreemptibleBy(run, step.job.terms.priority) && this.#isOutrankedInTime(run, step, now);
    }

    /** See {@link PreemptionPolicy.mayPreemptForPriority}. */
    mayPreemptForPriority(run: TaskRun, priority: number, now: Milliseconds): boolean {
        const { step } = run.task;
        return isPreemptibleBy(run, priority) && hasSlack(step, slackOf(run, rankStep(this.context, step, now), now));
    }

    /** Whether the step goes first, and the run's job is on time all the same. */
    #isOutrankedInTime(run: TaskRun, step: Step, now: Milliseconds): boolean {
        const victim = rankStep(this.context, run.task.step, now);
        return slackOf(run, victim, now) > minSlackToPreempt
            && compareRanks(rankStep(this.context, step, now), victim) < 0;
    }
}

const isPreemptibleBy = (run: TaskRun, priority: number): boolean =>
    run.task.step.job.terms.priority > priority && isCheapToStop(run) && run.task.preemptions < maxPreemptions;

/** How much time a run's job has to spare, were the run stopped now. */
const slackOf = ({ task, percent }: TaskRun, { latestStart }: RankedStep, now: Milliseconds): Milliseconds =>
    latestStart + task.step.definition.estimate * percent / 100 - now;

const isCheapToStop = ({ task: { step: { definition } }, phase, stopReason, percent }: TaskRun): boolean =>
    definition.savesProgress
    && !definition.isGang
    && !definition.isLasting
    && phase === RunPhase.Running
    && stopReason === undefined
    && percent <= 100 - minPercentLeft;
