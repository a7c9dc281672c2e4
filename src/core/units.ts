/** Units used in the core. All times are milliseconds on a monotonic clock, passed in as arguments. */

/** A duration or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Converts values that operators give in seconds. */
export const MILLISECONDS_PER_SECOND = 1000;
