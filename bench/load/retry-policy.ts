/** When a well-behaved caller sends a request again, and after which delay. Pure. */
import type { RequestRecord } from '../history/model.js';
import type { AttemptPlan } from './statements.js';

export const MAX_ATTEMPTS = 4;

const BASE_DELAY_MS = 20;
const NEVER_RETRIED: ReadonlySet<string> = new Set(['MS-UNSUPPORTED', 'MS-ONCE-KEY']);
const ROLLED_BACK_CODE = 'MS-TRANSACTION-ABORTED';

export interface RetryQuestion {
  readonly record: RequestRecord;
  readonly plan: AttemptPlan;
  /** Attempts made so far. */
  readonly attempts: number;
  /** When the caller no longer wants the answer, since the Unix epoch. */
  readonly deadlineAt: number;
  /** Uniform in [0, 1): full jitter. */
  readonly jitter: number;
}

/** Delay before the next attempt; undefined if there is to be none. */
export function retryDelayMs(question: RetryQuestion): number | undefined {
  const { record, attempts } = question;
  if (attempts >= MAX_ATTEMPTS || !mayRunAgain(question)) return undefined;
  const spread = BASE_DELAY_MS * 2 ** (attempts - 1) * question.jitter;
  const delayMs = (record.retryAfterMs ?? 0) + spread;
  return record.endedAt + delayMs < question.deadlineAt ? delayMs : undefined;
}

/**
 * What did not run may run again, so may reads and what was rolled back. An unknown outcome is tried again
 * only with a key that keeps it from running twice; transactions have none.
 */
function mayRunAgain({ record, plan }: RetryQuestion): boolean {
  if (record.errorCode !== undefined && NEVER_RETRIED.has(record.errorCode)) return false;
  if (record.outcome === 'not-run') return true;
  if (record.errorCode === ROLLED_BACK_CODE) return true;
  if (record.outcome !== 'unknown') return false;
  return record.access === 'read' || !plan.transaction;
}
