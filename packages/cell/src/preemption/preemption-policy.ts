/** Policies of preemption. */
import type { Milliseconds } from "@pebbledale/core";
import { compareRanks, hasSlack, type RankedStep, rankStep } from "../selection/index.js";
import { type CellContext, RunPhase, type Step, type TaskRun } from "../state/index.js";
import { maxPreemptions, minPercentLeft, minSlackToPreempt } from "./constants.js";

/** Decides which runs may be preempted for which work. */
export interface PreemptionPolicy {
    /** Whether a run may be stopped to free resources for tasks of a step. */
    mayPreemptFor(run: TaskRun, step: Step, now: Milliseconds): boolean;
    /** Whether a run may be stopped for expected work of a priority. It requires more slack than preemption for a given step. */
    mayPreemptForPriority(run: TaskRun, priority: number, now: Milliseconds): boolean;
}

/** Allows preemption of runs of less urgent queues whose progress is saved and whose jobs can still be on time. */
export class SavedProgressPreemption implements PreemptionPolicy {
    constructor(private readonly context: CellContext) {}

    mayPreemptFor(run: TaskRun, step: Step, now: Milliseconds): boolean {
        return isPreemptibleBy(run, step.job.terms.priority) && this.#isOutrankedWithSlack(run, step, now);
    }

    mayPreemptForPriority(run: TaskRun, priority: number, now: Milliseconds): boolean {
        const { step } = run.task;
        return isPreemptibleBy(run, priority) && hasSlack(step, slackOf(run, rankStep(this.context, step, now), now));
    }

    /** Whether the step ranks before the run's step and the run's job can be on time although the run is stopped. */
    #isOutrankedWithSlack(run: TaskRun, step: Step, now: Milliseconds): boolean {
        const victim = rankStep(this.context, run.task.step, now);
        return slackOf(run, victim, now) > minSlackToPreempt
            && compareRanks(rankStep(this.context, step, now), victim) < 0;
    }
}

const isPreemptibleBy = (run: TaskRun, priority: number): boolean =>
    run.task.step.job.terms.priority > priority && isCheapToStop(run) && run.task.preemptions < maxPreemptions;

/** The slack of a run's job if the run is stopped now with its progress saved. */
const slackOf = ({ task, percent }: TaskRun, { latestStart }: RankedStep, now: Milliseconds): Milliseconds =>
    latestStart + task.step.definition.estimate * percent / 100 - now;

const isCheapToStop = ({ task: { step: { definition } }, phase, stopReason, percent }: TaskRun): boolean =>
    definition.savesProgress
    && !definition.isGang
    && !definition.isLasting
    && phase === RunPhase.Running
    && stopReason === undefined
    && percent <= 100 - minPercentLeft;
