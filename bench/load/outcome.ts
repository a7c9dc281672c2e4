/** What a failed attempt tells its caller: ending, outcome, code and retry hint. */
import pg from 'pg';
import type { RequestEnding, RequestOutcome } from '../history/model.js';

export interface AttemptFailure {
  readonly ending: RequestEnding;
  readonly outcome: RequestOutcome;
  readonly errorCode: string;
  readonly retryAfterMs: number | undefined;
}

const ADMIN_SHUTDOWN = '57P01';
const RESOLUTION_UNKNOWN = '08007';
const DETAIL_PATTERN = /^(MS-[A-Z-]+): (done|not-run|unknown|failed)$/;
const RETRY_HINT_PATTERN = /^retry after (\d+) ms$/;
const OUTCOMES: ReadonlyMap<string, RequestOutcome> = new Map([
  ['done', 'done'],
  ['not-run', 'not-run'],
  ['unknown', 'unknown'],
  ['failed', 'failed'],
]);

/** Reads the outcome from the error's detail (`<code>: <outcome>`) and the delay from its hint. */
export function failureOf(error: unknown): AttemptFailure {
  if (error instanceof pg.DatabaseError) return databaseFailure(error);
  const cause = error instanceof Error ? error.message : String(error);
  return {
    ending: 'cut',
    outcome: 'unknown',
    errorCode: `CUT (${cause})`,
    retryAfterMs: undefined,
  };
}

/** The proxy could not be connected to, so nothing was sent. */
export function connectFailure(error: unknown): AttemptFailure {
  const told = error instanceof pg.DatabaseError ? databaseFailure(error) : undefined;
  return {
    ending: 'terminated',
    outcome: 'not-run',
    errorCode: told?.errorCode ?? 'CONNECT',
    retryAfterMs: told?.retryAfterMs,
  };
}

/** The proxy did not take the session's token, for example because its key went out of force. */
export function isTokenRefused(failure: AttemptFailure): boolean {
  return failure.errorCode.startsWith('MS-SESSION-TOKEN-');
}

/** The caller's time ran out while its session was busy: the request was never sent. */
export const NOT_SENT: AttemptFailure = {
  ending: 'terminated',
  outcome: 'not-run',
  errorCode: 'NOT-SENT',
  retryAfterMs: undefined,
};

/** The caller gave up. */
export const ABANDONED: AttemptFailure = {
  ending: 'abandoned',
  outcome: 'unknown',
  errorCode: 'ABANDONED',
  retryAfterMs: undefined,
};

function databaseFailure(error: pg.DatabaseError): AttemptFailure {
  const [, code, outcomeText] = DETAIL_PATTERN.exec(error.detail ?? '') ?? [];
  const told = OUTCOMES.get(outcomeText ?? '');
  const farewell = error.code === ADMIN_SHUTDOWN;
  const untold = error.code === RESOLUTION_UNKNOWN ? 'unknown' : 'failed';
  // A farewell without a word on the request comes between requests: it was not taken.
  const outcome = told ?? (farewell ? 'not-run' : untold);
  const [, delay] = RETRY_HINT_PATTERN.exec(error.hint ?? '') ?? [];
  return {
    ending: farewell || error.severity === 'FATAL' ? endingOfFatal(outcome) : 'answered',
    outcome,
    errorCode: code ?? error.code ?? 'UNKNOWN',
    retryAfterMs: delay === undefined ? undefined : Number(delay),
  };
}

/** The connection ends with the error: before the request was taken, or in the middle of it. */
function endingOfFatal(outcome: RequestOutcome): RequestEnding {
  return outcome === 'not-run' ? 'terminated' : 'cut';
}
