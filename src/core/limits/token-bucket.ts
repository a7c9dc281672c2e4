/** Token bucket as an immutable value, with pure functions that take the current time. */
import { MILLISECONDS_PER_SECOND, type Milliseconds } from '../units.js';

/** Tokens available at `updatedAt`. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedAt: Milliseconds;
}

/** Refill rate and capacity. */
export interface TokenBucketConfig {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** A bucket filled to capacity. */
export function fullBucket(config: TokenBucketConfig, now: Milliseconds): TokenBucket {
  return { tokens: config.capacity, updatedAt: now };
}

/** Adds the tokens earned since the last update, at the current rate and capacity. */
export function refill(
  bucket: TokenBucket,
  config: TokenBucketConfig,
  now: Milliseconds,
): TokenBucket {
  const elapsedMs = Math.max(0, now - bucket.updatedAt);
  const earned = (elapsedMs * config.tokensPerSecond) / MILLISECONDS_PER_SECOND;
  return { tokens: Math.min(config.capacity, bucket.tokens + earned), updatedAt: now };
}

/** The refilled bucket with one token less; undefined if it has no whole token. */
export function takeToken(bucket: TokenBucket): TokenBucket | undefined {
  if (bucket.tokens < 1) return undefined;
  return { tokens: bucket.tokens - 1, updatedAt: bucket.updatedAt };
}

/** Milliseconds until a whole token is available; infinite if the bucket is never refilled. */
export function msUntilToken(bucket: TokenBucket, config: TokenBucketConfig): Milliseconds {
  const missing = Math.max(0, 1 - bucket.tokens);
  if (missing === 0) return 0;
  if (config.tokensPerSecond <= 0) return Number.POSITIVE_INFINITY;
  return (missing * MILLISECONDS_PER_SECOND) / config.tokensPerSecond;
}
