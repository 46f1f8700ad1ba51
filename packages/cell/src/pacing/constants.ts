/** Tuning constants of pacing. */
/** Increase of the filler pace, in percent, while all tail latencies are well below their targets. */
export const paceIncrement = 10;
/** Below this pace, in percent, fillers are paused. */
export const minPace = 5;
/** Share of its target above which a tail latency is near it. The margin covers the delay of the measurement. */
export const tailNearTarget = 0.8;
/** Share of its target below which a tail latency lets fillers run faster. */
export const tailWellBelowTarget = 0.6;
