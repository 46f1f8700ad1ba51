/** The order in which ready steps are placed. */
import type { Milliseconds } from "@pebbledale/core";
import type { CellContext } from "./cell-context.js";
import type { Step } from "./entities.js";

/** Negative when `left` goes first: the more urgent priority, then the earlier job. */
export const compareUrgency = (
    context: CellContext,
    left: Step,
    right: Step,
    _now: Milliseconds,
): number => {
    const byPriority = context.priorityOf(left.job) - context.priorityOf(right.job);
    return byPriority !== 0 ? byPriority : left.job.acceptedSteady - right.job.acceptedSteady;
};
