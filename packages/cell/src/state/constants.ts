/** Constants of the state that are not settings. */
/** Pace of a run that is not throttled, in percent. */
export const fullPace = 100;
