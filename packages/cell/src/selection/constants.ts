/** Tuning constants of ranking and worker selection. Times are in milliseconds. */
/** Expected time from the decision to stop a run until the worker reports its end. Workers may take 200 to 900 ms. */
export const stopDuration = 400;
/** Cost added, for filler tasks, to a worker that runs latency-sensitive tasks. */
export const servingWorkerCost = 100;
/** A task is wide when no worker of its service can hold more than this many of them. */
export const maxWideTasksPerWorker = 4;
/**
 * The search for candidates, fullest workers first, ends once they hold this many times the waiting tasks. It goes beyond the first fit
 * because a less full worker may fit better once it takes several tasks.
 */
export const candidateFactor = 3;
/** Candidates to find before the search may end early. */
export const minCandidates = 16;
/** Slack that a step needs to be deferrable. It covers a slow start, a change of owner and workers that leave meanwhile. */
export const minSlack = 4_000;
/** Slack required in addition, as a share of the remaining work, because callers' estimates may be too short. */
export const minSlackPerWork = 0.5;
/**
 * An urgent step with less than this share of its job's initial slack counts as on time only if its estimate is right: the objective is
 * computed from the estimate.
 */
export const uncertainSlackShare = 0.4;
/** Delay in the order of urgent steps, in milliseconds for each core-second that a step asks for. */
export const sizePenaltyPerCoreSecond = 10;
/** Upper bound of the size penalty of an urgent step, in milliseconds. */
export const maxSizePenalty = 1_000;
/** Cost of a worker that is slower by a factor of e. It outweighs the free processors of most workers, which cost 1 each. */
export const slownessCost = 50;
/** Cost of a data hall for each long-running task of the same step there. It outweighs the free processors of a worker, which cost 1 each. */
export const sameHallCost = 100;
