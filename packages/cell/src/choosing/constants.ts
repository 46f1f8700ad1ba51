/** Times, sizes and weights of choices that are not settings. Times are in milliseconds. */
/**
 * What a stop takes, in milliseconds, from the decision to the end that is listed: workers may take 200 to 900 ms by the
 * users' bounds, and take less.
 */
export const stopTime = 400;
/** Added to the cost of a worker with tasks that serve, for tasks that fill. */
export const servingCost = 100;
/** A task is wide when no worker of its service holds more than this many of them. */
export const wideTasksPerWorker = 4;
/**
 * Workers are looked through, the fullest first, until those found hold this many times the tasks that wait: a worker that is
 * less full may be left with less once it has several tasks.
 */
export const choiceFactor = 3;
/** Fewest workers that are found before the others are left out. */
export const fewestCandidates = 16;
/**
 * Work can wait only while it has this much more time than it needs, in milliseconds: for a start that takes a while, and for
 * a change of owner or workers that leave meanwhile.
 */
export const leastSlack = 4_000;
/** The same for callers' estimates that are too short, as a share of the work that is left. */
export const slackOfWork = 0.5;
/** Share of the time to spare of an urgent job that it has only if its estimate is right: an objective grows with the real work. */
export const doubtedShare = 0.4;
/** An urgent step goes behind those that must start this much earlier for each core-second that it asks for, in milliseconds. */
export const handicapPerCoreSecond = 10;
/** Most that its size puts an urgent step back, in milliseconds. */
export const mostHandicap = 1_000;
