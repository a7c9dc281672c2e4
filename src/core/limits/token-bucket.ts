/** Token bucket in pure form: a value and functions of it and the time. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';

/** Tokens left at a moment. */
export interface TokenBucket {
  readonly tokens: number;
  readonly at: Milliseconds;
}

/** Rate of refill and greatest fill. */
export interface TokenBucketShape {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** A bucket that nothing was taken from. */
export function fullBucket(shape: TokenBucketShape, now: Milliseconds): TokenBucket {
  return { tokens: shape.capacity, at: now };
}

/** The same bucket at a later time, under the shape in force now. */
export function refill(
  bucket: TokenBucket,
  shape: TokenBucketShape,
  now: Milliseconds,
): TokenBucket {
  const elapsedMs = Math.max(0, now - bucket.at);
  const earned = (elapsedMs * shape.tokensPerSecond) / MILLISECONDS_PER_SECOND;
  return { tokens: Math.min(shape.capacity, bucket.tokens + earned), at: now };
}

/** Takes a token of a refilled bucket, or undefined if there is none. */
export function takeToken(bucket: TokenBucket): TokenBucket | undefined {
  if (bucket.tokens < 1) return undefined;
  return { tokens: bucket.tokens - 1, at: bucket.at };
}

/** How long until a whole token is there. */
export function timeToToken(bucket: TokenBucket, shape: TokenBucketShape): Milliseconds {
  const missing = Math.max(0, 1 - bucket.tokens);
  if (missing === 0) return 0;
  if (shape.tokensPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return (missing * MILLISECONDS_PER_SECOND) / shape.tokensPerSecond;
}
