/** Tuning constants of the estimate of workers' speeds. Speeds are natural logarithms of multiples of the typical worker's speed. */

/** Weight, in samples, of the prior that a worker is as fast as the typical one. */
export const priorWeight = 2;
/** Upper bound of the accumulated weight of a worker's samples, beyond which older ones fade. */
export const maxWeight = 30;
/** Weight of samples from which an estimate is used. */
export const minWeight = 3;
/** Smaller differences of speed are ignored: other runs on a worker have as much effect. */
export const equalityTolerance = Math.log(1.35);
/** Bound of a sample's magnitude. Larger differences are attributed to the task rather than to the worker. */
export const maxDifference = Math.log(4);
/** Upper bound of workers whose paces are kept for a step. */
export const maxPeers = 24;
