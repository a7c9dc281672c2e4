/** Units used across the core. All times are milliseconds of a monotonic clock that the caller supplies. */

/** A duration or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** For what people give in seconds. */
export const MILLISECONDS_PER_SECOND = 1000;
