/** Times, sizes and weights of pacing that are not settings. Times are in milliseconds. */
/** A filler's pace grows by this much, in percent, each time all tails are well below their targets. */
export const paceIncrement = 10;
/** Below this pace, in percent, fillers stand still. */
export const minPace = 5;
/** Share of its target at which a tail is near it: it is measured over half a second and shifts within seconds. */
export const tailNearTarget = 0.8;
/** Share of its target below which a tail leaves room for fillers to work more. */
export const tailWellBelowTarget = 0.6;
