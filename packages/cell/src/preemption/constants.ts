/** Tuning constants of preemption. Times are in milliseconds. */
/** A run with less than this left, in percent, is not preempted, as it is about to end. */
export const minPercentLeft = 15;
/** Slack that a job must have for its run to be preempted: the run has to be stopped, placed again and restored. */
export const minSlackToPreempt = 2_500;
/** Upper bound of preemptions of one task. */
export const maxPreemptions = 3;
