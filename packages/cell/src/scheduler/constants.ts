/** Times, sizes and weights of the scheduler that are not settings. Times are in milliseconds. */
/** A task whose run failed waits this long before the next, so that a worker at fault is found out first. */
export const failedRunDelay = 50;
