/** Times and shares of runs that give way. Times are in milliseconds. */
/** Least part of a run, in percent, that must be left for it to be stopped: with less it is about to end. */
export const minPercentLeft = 15;
/** A run gives way only if its job has this much time to spare, in milliseconds: to be stopped, placed again, restored. */
export const minSlackToPreempt = 2_500;
/** A task gives way at most this often. */
export const maxPreemptions = 3;
