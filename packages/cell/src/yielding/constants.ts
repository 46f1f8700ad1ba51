/** Times and shares of runs that give way. Times are in milliseconds. */
/** A run is stopped for others only if more than this share of it, in percent, is left: else it is about to end. */
export const fewestPercentLeft = 15;
/** A run gives way only if its job has this much time to spare, in milliseconds: to be stopped, placed again, restored. */
export const preemptedSlack = 2_500;
/** A task gives way at most this often. */
export const mostPreemptions = 3;
