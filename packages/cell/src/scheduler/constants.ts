/** Constants of the scheduler that are not settings. Times are in milliseconds. */
/** Delay before a step's next start after a failed run, so that a faulty worker is detected first. */
export const failedRunDelay = 50;
