/** Times, sizes and weights of moves that are not settings. Times are in milliseconds. */
/** A run at a hindered worker is moved only if more than this share of it, in percent, is left. */
export const leastLeftToMove = 15;
