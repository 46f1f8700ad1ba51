/** The order in which ready steps are placed. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext, Job, Occurrence, Step } from "../state/index.js";
import {
    maxSizePenalty,
    minSlack,
    minSlackPerWork,
    sizePenaltyPerCoreSecond,
    uncertainSlackShare,
} from "./constants.js";

/** What a step can still earn. */
export enum DeadlineStatus {
    /** Its tasks last and serve users all the time: they go first. */
    Lasting = 0,
    /** Its job can meet its objective. */
    OnTime = 1,
    /** Its job is late, and may earn a part of its worth. */
    Late = 2,
    /** Its job is so late that it earns nothing, but it is owed. */
    Overdue = 3,
}

/** A job that takes more than this many times its objective earns nothing (the users' rules). */
const overdueFactor = 3;

/**
 * The order of steps by what they can still earn. Late narrow steps of the most urgent queues go before patient work that can wait:
 * both earn something that way, whereas behind it late steps would become worthless.
 */
export enum Tier {
    Lasting = 0,
    OnTime = 1,
    /** Also steps that are on time only if their estimates are right, and those beyond what their organisation is owed. */
    LateUrgent = 2,
    Deferrable = 3,
    Late = 4,
    Overdue = 5,
}

/** A ready step with what decides its place. */
export interface RankedStep {
    readonly step: Step;
    readonly deadlineStatus: DeadlineStatus;
    /** See {@link Tier}; lower goes first. */
    readonly tier: Tier;
    readonly priority: number;
    /** 0 where its organisation is owed it, more where it is surplus: that goes behind, and if urgent ranks with late steps. */
    readonly entitlement: number;
    /** The latest time, by the owner's monotonic clock, at which it can begin and its job be on time. */
    readonly latestStart: Milliseconds;
    /** Its place among steps of one tier, priority and standing; lower goes first. */
    readonly sortTime: Milliseconds;
}

/** When an occurrence of a job began to count, by the owner's monotonic clock. */
const releaseTimeOf = (context: CellContext, job: Job, occurrence: Occurrence): Milliseconds => {
    const dueAt = job.dueAt(occurrence.number);
    return dueAt === undefined ? job.acceptedAtMonotonic : context.now() - (context.wallClock() - dueAt);
};

/** Ranks one step. */
export const rankStep = (context: CellContext, step: Step, now: Milliseconds, standing = 0): RankedStep => {
    const { job, occurrence, definition } = step;
    const { extension, latencyTarget, priority } = job.terms;
    const began = releaseTimeOf(context, job, occurrence);
    const objective = extension * occurrence.criticalPath + latencyTarget;
    const remaining = occurrence.criticalPaths[step.index];
    const latestStart = began + objective - remaining;
    if (definition.isLasting) {
        return {
            step,
            deadlineStatus: DeadlineStatus.Lasting,
            tier: Tier.Lasting,
            priority,
            entitlement: standing,
            latestStart,
            sortTime: latestStart,
        };
    }
    const isLate = now > latestStart;
    const isOverdue = now > began + overdueFactor * objective - remaining;
    const prospect = isOverdue ? DeadlineStatus.Overdue : isLate ? DeadlineStatus.Late : DeadlineStatus.OnTime;
    const tier = tierOf(context, step, prospect, latestStart - now, standing);
    const turn = latestStart + (isUrgentNarrow(context, step) ? sizePenaltyOf(step) : 0);
    return { step, deadlineStatus: prospect, tier, priority, entitlement: standing, latestStart, sortTime: turn };
};

/** Whether a step is of the most urgent queues and its tasks are small, each by itself, and end. */
export const isUrgentNarrow = ({ queues }: CellContext, { definition, job }: Step): boolean =>
    job.terms.priority === queues?.mostUrgentPriority && !definition.isLasting && !definition.isGang;

/** Where not all urgent jobs can be on time, small ones earn more for the room that they take. */
const sizePenaltyOf = ({ definition: { estimate, size, taskCount } }: Step): Milliseconds => {
    const coreSeconds = taskCount * size.processorThousandths * estimate / 1e6;
    return Math.min(maxSizePenalty, coreSeconds * sizePenaltyPerCoreSecond);
};

const tierOf = (
    context: CellContext,
    step: Step,
    prospect: DeadlineStatus,
    slack: Milliseconds,
    standing: number,
): Tier => {
    const isUrgent = isUrgentNarrow(context, step);
    switch (prospect) {
        case DeadlineStatus.Lasting:
            return Tier.Lasting;
        case DeadlineStatus.OnTime:
            return isUrgent ? urgentTier(step, slack, standing) : deferrableTier(context, step, slack);
        case DeadlineStatus.Late:
            return isUrgent ? Tier.LateUrgent : Tier.Late;
        case DeadlineStatus.Overdue:
            return Tier.Overdue;
    }
};

/**
 * An urgent step that is on time only if its estimate is right takes no room from one that surely can be, nor does one beyond what its
 * organisation is owed from late ones that are owed.
 */
const urgentTier = ({ occurrence, job }: Step, slack: Milliseconds, standing: number): Tier => {
    const isDoubted = slack < uncertainSlackShare * (job.terms.extension - 1) * occurrence.criticalPath;
    return isDoubted || standing > 0 ? Tier.LateUrgent : Tier.OnTime;
};

const deferrableTier = ({ queues }: CellContext, step: Step, slack: Milliseconds): Tier => {
    const { definition, job: { terms: { priority } } } = step;
    const canWait = priority !== queues?.mostUrgentPriority && !definition.isGang && hasSlack(step, slack);
    return canWait ? Tier.Deferrable : Tier.OnTime;
};

/** Whether a step can wait and its job be on time all the same, also when its estimates are too short. */
export const hasSlack = ({ occurrence, index }: Step, slack: Milliseconds): boolean =>
    slack > minSlack + minSlackPerWork * occurrence.criticalPaths[index];

/** Negative when `left` goes first. */
export const compareRanks = (left: RankedStep, right: RankedStep): number =>
    left.tier - right.tier
    || left.priority - right.priority
    || left.entitlement - right.entitlement
    || left.sortTime - right.sortTime;

/** Queues have a handful of priorities; a job's prospect counts for more than any of them. */
const prioritiesPerStatus = 4;

/** One figure for the order in which steps' questions are asked: lower goes first. */
export const adviceUrgencyOf = ({ deadlineStatus: prospect, priority }: RankedStep): number =>
    prospect * prioritiesPerStatus + priority;

/** Whether a step can still earn all its job's worth, so that its tickets are to be at hand whenever room opens. */
export const needsFreshTickets = ({ deadlineStatus: prospect }: RankedStep): boolean =>
    prospect <= DeadlineStatus.OnTime;
