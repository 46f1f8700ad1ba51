/** Times, sizes and weights of choices that are not settings. Times are in milliseconds. */
/**
 * What a stop takes, in milliseconds, from the decision to the end that is listed: workers may take 200 to 900 ms by the
 * users' bounds, and take less.
 */
export const stopDuration = 400;
/** Added to the cost of a worker with tasks that serve, for tasks that fill. */
export const servingWorkerCost = 100;
/** A task is wide when no worker of its service holds more than this many of them. */
export const maxWideTasksPerWorker = 4;
/**
 * Workers are looked through, the fullest first, until those found hold this many times the tasks that wait: a worker that is
 * less full may be left with less once it has several tasks.
 */
export const candidateFactor = 3;
/** Fewest workers that are found before the others are left out. */
export const minCandidates = 16;
/**
 * Work can wait only while it has this much more time than it needs, in milliseconds: for a start that takes a while, and for
 * a change of owner or workers that leave meanwhile.
 */
export const minSlack = 4_000;
/** The same for callers' estimates that are too short, as a share of the work that is left. */
export const minSlackPerWork = 0.5;
/** Share of the time to spare of an urgent job that it has only if its estimate is right: an objective grows with the real work. */
export const uncertainSlackShare = 0.4;
/** An urgent step goes behind those that must start this much earlier for each core-second that it asks for, in milliseconds. */
export const sizePenaltyPerCoreSecond = 10;
/** Most that its size puts an urgent step back, in milliseconds. */
export const maxSizePenalty = 1_000;
/** Cost of a worker that takes e times as long, beside its processors that stay free: more than those of most workers. */
export const slownessCost = 50;
