/** Ranks ready steps. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext, Job, Occurrence, Step } from "../state/index.js";
import { doubtedShare, handicapPerCoreSecond, leastSlack, mostHandicap, slackOfWork } from "./constants.js";

/** Whether a step's job can still meet its objective, and so how much of its value it can still earn. */
export enum Prospect {
    /** Its tasks run until they are cancelled and serve users throughout: they go first. */
    Lasting = 0,
    OnTime = 1,
    /** Its job misses its objective but earns a part of its value. */
    Late = 2,
    /** Its job is too late to earn anything, but still has to be completed. */
    Overdue = 3,
}

/** A job that takes more than this many times its objective earns nothing. */
const lateFactor = 3;

/**
 * The coarsest criterion of the order of steps; lower goes first. Late narrow steps of the most urgent queues go before deferrable
 * work: behind it they would become worthless, while the deferrable work can still be on time.
 */
export enum Tier {
    Lasting = 0,
    OnTime = 1,
    /** Also urgent steps that are on time only if their estimates are right, and those that exceed their organisation's entitlement. */
    LateUrgent = 2,
    OnTimeWithSlack = 3,
    Late = 4,
    Overdue = 5,
}

/** A ready step with its sort keys. */
export interface RankedStep {
    readonly step: Step;
    readonly prospect: Prospect;
    readonly tier: Tier;
    readonly priority: number;
    /** 0 within its organisation's entitlement, more for surplus. Surplus goes behind, and where urgent ranks with late steps. */
    readonly standing: number;
    /** The latest time, by the owner's monotonic clock, at which it can start for its job to be on time. */
    readonly latestStart: Milliseconds;
    /** Orders steps of the same tier, priority and entitlement; lower goes first. */
    readonly turn: Milliseconds;
}

/** When an occurrence was due or its job accepted, by the owner's monotonic clock; objectives are measured from here. */
const beganAt = (context: CellContext, job: Job, occurrence: Occurrence): Milliseconds => {
    const dueAt = job.dueAt(occurrence.number);
    return dueAt === undefined ? job.acceptedSteady : context.now() - (context.wallClock() - dueAt);
};

/** Computes the sort keys of a step. `standing`: 0 within its organisation's entitlement, more for surplus. */
export const rank = (context: CellContext, step: Step, now: Milliseconds, standing = 0): RankedStep => {
    const { job, occurrence, definition } = step;
    const { extension, latencyTarget, priority } = job.terms;
    const began = beganAt(context, job, occurrence);
    const objective = extension * occurrence.longestChain + latencyTarget;
    const remaining = occurrence.chains[step.index];
    const latestStart = began + objective - remaining;
    if (definition.isLasting) {
        return {
            step,
            prospect: Prospect.Lasting,
            tier: Tier.Lasting,
            priority,
            standing,
            latestStart,
            turn: latestStart,
        };
    }
    const isLate = now > latestStart;
    const isOverdue = now > began + lateFactor * objective - remaining;
    const prospect = isOverdue ? Prospect.Overdue : isLate ? Prospect.Late : Prospect.OnTime;
    const tier = tierOf(context, step, prospect, latestStart - now, standing);
    const turn = latestStart + (isUrgentNarrow(context, step) ? handicapOf(step) : 0);
    return { step, prospect, tier, priority, standing, latestStart, turn };
};

/** Whether a step of the most urgent queues has independent tasks that end: no gang, not long-running. */
export const isUrgentNarrow = ({ queues }: CellContext, { definition, job }: Step): boolean =>
    job.terms.priority === queues?.mostUrgent && !definition.isLasting && !definition.isGang;

/** Puts large steps back: where not all urgent jobs can be on time, small ones earn more for their resources. */
const handicapOf = ({ definition: { estimate, size, taskCount } }: Step): Milliseconds => {
    const coreSeconds = taskCount * size.processorThousandths * estimate / 1e6;
    return Math.min(mostHandicap, coreSeconds * handicapPerCoreSecond);
};

const tierOf = (
    context: CellContext,
    step: Step,
    prospect: Prospect,
    slack: Milliseconds,
    standing: number,
): Tier => {
    const isUrgent = isUrgentNarrow(context, step);
    switch (prospect) {
        case Prospect.Lasting:
            return Tier.Lasting;
        case Prospect.OnTime:
            return isUrgent ? urgentTier(step, slack, standing) : patientTier(context, step, slack);
        case Prospect.Late:
            return isUrgent ? Tier.LateUrgent : Tier.Late;
        case Prospect.Overdue:
            return Tier.Overdue;
    }
};

/** Uncertain steps must not displace those that can surely be on time, nor surplus ones late steps within their entitlement. */
const urgentTier = ({ occurrence, job }: Step, slack: Milliseconds, standing: number): Tier => {
    const isDoubted = slack < doubtedShare * (job.terms.extension - 1) * occurrence.longestChain;
    return isDoubted || standing > 0 ? Tier.LateUrgent : Tier.OnTime;
};

const patientTier = ({ queues }: CellContext, step: Step, slack: Milliseconds): Tier => {
    const { definition, job: { terms: { priority } } } = step;
    const canWait = priority !== queues?.mostUrgent && !definition.isGang && hasSlack(step, slack);
    return canWait ? Tier.OnTimeWithSlack : Tier.OnTime;
};

/** Whether a step with this much time until its latest start is deferrable, allowing for estimates that are too short. */
export const hasSlack = ({ occurrence, index }: Step, slack: Milliseconds): boolean =>
    slack > leastSlack + slackOfWork * occurrence.chains[index];

/** Negative when `left` goes first. */
export const compareRanks = (left: RankedStep, right: RankedStep): number =>
    left.tier - right.tier
    || left.priority - right.priority
    || left.standing - right.standing
    || left.turn - right.turn;

/** Weight of the deadline status over the queue's priority in the urgency of a question. */
const prioritiesPerProspect = 4;

/** Urgency of a step's questions to the advice service; lower goes first. */
export const urgencyOf = ({ prospect, priority }: RankedStep): number => prospect * prioritiesPerProspect + priority;

/** Whether a step can still earn its job's full value, so that its tickets are renewed before they expire. */
export const isWorthFreshTickets = ({ prospect }: RankedStep): boolean => prospect <= Prospect.OnTime;
