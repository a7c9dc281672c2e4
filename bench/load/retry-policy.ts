/** Decides whether a well-behaved caller retries a request, and after which delay. Pure. */
import type { RequestRecord } from '../history/model.js';
import type { AttemptPlan } from './statements.js';

export const MAX_ATTEMPTS = 4;

const BASE_DELAY_MS = 20;
const NON_RETRYABLE_CODES: ReadonlySet<string> = new Set(['MS-UNSUPPORTED', 'MS-ONCE-KEY']);
const ROLLED_BACK_CODE = 'MS-TRANSACTION-ABORTED';

export interface RetryInput {
  readonly record: RequestRecord;
  readonly plan: AttemptPlan;
  /** Attempts made so far. */
  readonly attemptCount: number;
  /** Deadline of the request, in milliseconds since the Unix epoch. */
  readonly deadlineAt: number;
  /** Uniform in [0, 1), for full jitter. */
  readonly jitter: number;
}

/** Delay before the next attempt; undefined if the request is not retried. */
export function retryDelayMs(input: RetryInput): number | undefined {
  const { record, attemptCount } = input;
  if (attemptCount >= MAX_ATTEMPTS || !isRetryable(input)) return undefined;
  const backoffMs = BASE_DELAY_MS * 2 ** (attemptCount - 1) * input.jitter;
  const delayMs = (record.retryAfterMs ?? 0) + backoffMs;
  return record.endedAt + delayMs < input.deadlineAt ? delayMs : undefined;
}

/**
 * Requests that did not run and transactions that were rolled back are retried, and so are reads. A write
 * with an unknown outcome is retried only if its idempotency key prevents a second execution;
 * transactions have no such key.
 */
function isRetryable({ record, plan }: RetryInput): boolean {
  if (record.errorCode !== undefined && NON_RETRYABLE_CODES.has(record.errorCode)) return false;
  if (record.outcome === 'not-run') return true;
  if (record.errorCode === ROLLED_BACK_CODE) return true;
  if (record.outcome !== 'unknown') return false;
  return record.access === 'read' || !plan.isTransaction;
}
