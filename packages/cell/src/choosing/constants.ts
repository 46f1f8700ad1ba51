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
