/** Times, sizes and weights of moves that are not settings. Times are in milliseconds. */
/** A run at a hindered worker is moved only if more than this share of it, in percent, is left. */
export const minPercentLeftToMove = 15;
/**
 * A gang is stopped when it is expected to end this much after one of its workers leaves. Ends are expected from estimates
 * and progress that are rough, and workers may leave later than they say.
 */
export const minLatenessToStop = 1_500;
