/** Unit of durations and of monotonic times. */

/** A duration in milliseconds, or a time on the monotonic clock. Not branded: an alias for readability. */
export type Milliseconds = number;
