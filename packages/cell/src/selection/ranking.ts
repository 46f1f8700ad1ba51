/** Ranks ready steps. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext, Job, Occurrence, Step } from "../state/index.js";
import {
    maxSizePenalty,
    minSlack,
    minSlackPerWork,
    sizePenaltyPerCoreSecond,
    uncertainSlackShare,
} from "./constants.js";

/** Whether a step's job can still meet its objective, and so how much of its value it can still earn. */
export enum DeadlineStatus {
    /** Its tasks run until they are cancelled and serve users throughout: they go first. */
    LongRunning = 0,
    OnTime = 1,
    /** Its job misses its objective but earns a part of its value. */
    Late = 2,
    /** Its job is too late to earn anything, but still has to be completed. */
    Overdue = 3,
}

/** A job that takes more than this many times its objective earns nothing. */
const overdueFactor = 3;

/**
 * The coarsest criterion of the order of steps; lower goes first. Late narrow steps of the most urgent queues go before deferrable
 * work: after it they would earn nothing, while the deferrable work can still be on time.
 */
export enum Tier {
    LongRunning = 0,
    OnTime = 1,
    /** Also urgent steps that are on time only if their estimates are right, and those that exceed their organisation's entitlement. */
    LateUrgent = 2,
    Deferrable = 3,
    Late = 4,
    Overdue = 5,
}

/** A ready step with its sort keys. */
export interface RankedStep {
    readonly step: Step;
    readonly deadlineStatus: DeadlineStatus;
    readonly tier: Tier;
    readonly priority: number;
    /**
     * 0 within its organisation's entitlement, more for surplus. Surplus steps come after entitled ones; urgent ones are in the tier of late
     * steps.
     */
    readonly entitlement: number;
    /** The latest time, by the owner's monotonic clock, at which it can start for its job to be on time. */
    readonly latestStart: Milliseconds;
    /** Orders steps of the same tier, priority and entitlement; lower goes first. */
    readonly sortTime: Milliseconds;
}

/** When an occurrence was due, or else its job accepted, by the owner's monotonic clock. Objectives are measured from here. */
const releaseTimeOf = (context: CellContext, job: Job, occurrence: Occurrence): Milliseconds => {
    const dueAt = job.dueAt(occurrence.number);
    return dueAt === undefined ? job.acceptedAtMonotonic : context.now() - (context.wallClock() - dueAt);
};

/** Computes the sort keys of a step. `entitlement`: 0 within its organisation's entitlement, more for surplus. */
export const rankStep = (context: CellContext, step: Step, now: Milliseconds, entitlement = 0): RankedStep => {
    const { job, occurrence, definition } = step;
    const { extension, latencyTarget, priority } = job.terms;
    const releaseTime = releaseTimeOf(context, job, occurrence);
    const objective = extension * occurrence.criticalPath + latencyTarget;
    const remaining = occurrence.criticalPaths[step.index];
    const latestStart = releaseTime + objective - remaining;
    if (definition.isLasting) {
        return {
            step,
            deadlineStatus: DeadlineStatus.LongRunning,
            tier: Tier.LongRunning,
            priority,
            entitlement,
            latestStart,
            sortTime: latestStart,
        };
    }
    const isLate = now > latestStart;
    const isOverdue = now > releaseTime + overdueFactor * objective - remaining;
    const deadlineStatus = isOverdue ? DeadlineStatus.Overdue : isLate ? DeadlineStatus.Late : DeadlineStatus.OnTime;
    const tier = tierOf(context, step, deadlineStatus, latestStart - now, entitlement);
    const sortTime = latestStart + (isUrgentNarrow(context, step) ? sizePenaltyOf(step) : 0);
    return { step, deadlineStatus, tier, priority, entitlement, latestStart, sortTime };
};

/** Whether a step of the most urgent queues has independent tasks that end: no gang, not long-running. */
export const isUrgentNarrow = ({ queues }: CellContext, { definition, job }: Step): boolean =>
    job.terms.priority === queues?.mostUrgentPriority && !definition.isLasting && !definition.isGang;

/** Delays large steps: where not all urgent jobs can be on time, small ones earn more for their resources. */
const sizePenaltyOf = ({ definition: { estimate, size, taskCount } }: Step): Milliseconds => {
    const coreSeconds = taskCount * size.processorThousandths * estimate / 1e6;
    return Math.min(maxSizePenalty, coreSeconds * sizePenaltyPerCoreSecond);
};

const tierOf = (
    context: CellContext,
    step: Step,
    deadlineStatus: DeadlineStatus,
    slack: Milliseconds,
    entitlement: number,
): Tier => {
    const isUrgent = isUrgentNarrow(context, step);
    switch (deadlineStatus) {
        case DeadlineStatus.LongRunning:
            return Tier.LongRunning;
        case DeadlineStatus.OnTime:
            return isUrgent ? urgentTier(step, slack, entitlement) : deferrableTier(context, step, slack);
        case DeadlineStatus.Late:
            return isUrgent ? Tier.LateUrgent : Tier.Late;
        case DeadlineStatus.Overdue:
            return Tier.Overdue;
    }
};

/** Uncertain steps must not displace those that can surely be on time, nor surplus ones late steps within their entitlement. */
const urgentTier = ({ occurrence, job }: Step, slack: Milliseconds, entitlement: number): Tier => {
    const isUncertain = slack < uncertainSlackShare * (job.terms.extension - 1) * occurrence.criticalPath;
    return isUncertain || entitlement > 0 ? Tier.LateUrgent : Tier.OnTime;
};

const deferrableTier = ({ queues }: CellContext, step: Step, slack: Milliseconds): Tier => {
    const { definition, job: { terms: { priority } } } = step;
    const isDeferrable = priority !== queues?.mostUrgentPriority && !definition.isGang && hasSlack(step, slack);
    return isDeferrable ? Tier.Deferrable : Tier.OnTime;
};

/** Whether a step with this much time until its latest start is deferrable, allowing for estimates that are too short. */
export const hasSlack = ({ occurrence, index }: Step, slack: Milliseconds): boolean =>
    slack > minSlack + minSlackPerWork * occurrence.criticalPaths[index];

/** Negative when `left` goes first. */
export const compareRanks = (left: RankedStep, right: RankedStep): number =>
    left.tier - right.tier
    || left.priority - right.priority
    || left.entitlement - right.entitlement
    || left.sortTime - right.sortTime;

/** Weight of the deadline status over the queue's priority in the urgency of a question. */
const prioritiesPerStatus = 4;

/** Urgency of a step's questions to the advice service; lower goes first. */
export const adviceUrgencyOf = ({ deadlineStatus, priority }: RankedStep): number =>
    deadlineStatus * prioritiesPerStatus + priority;

/** Whether a step can still earn its job's full value, so that its tickets are renewed before they expire. */
export const needsFreshTickets = ({ deadlineStatus }: RankedStep): boolean => deadlineStatus <= DeadlineStatus.OnTime;
