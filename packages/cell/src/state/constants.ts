/** Times, sizes and weights of the state that are not settings. Times are in milliseconds. */
/** Pace of a run that is not slowed down, in percent. */
export const fullPace = 100;
