/** Weights and bounds of what is learned of workers' speeds. Speeds are natural logarithms of multiples of the usual worker's. */

/** Weight of the assumption that a worker is a usual one, in samples. */
export const priorWeight = 2;
/** Most samples that are remembered of a worker, by weight: what is older fades. */
export const maxWeight = 30;
/** Fewest samples before a worker's speed is acted on. */
export const minWeight = 3;
/** Speeds that differ by less are taken for equal: what runs beside a task does as much. */
export const equalityTolerance = Math.log(1.35);
/** No sound worker is faster or slower than this: a sample that says so tells of its task. */
export const maxDifference = Math.log(4);
/** Most workers whose paces are kept for a step. */
export const maxPeers = 24;
