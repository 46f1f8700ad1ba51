/** Tuning constants of migration. Times are in milliseconds. */
/** A run on a degraded worker is migrated only if more than this is left of it, in percent. */
export const minPercentLeftToMove = 15;
/**
 * A gang is stopped if it is expected to end more than this after one of its workers leaves. The margin allows for rough estimates and
 * workers that leave later than announced.
 */
export const minLatenessToStop = 1_500;
