/** Derives ending, outcome, code and retry delay of a failed attempt from its error. */
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
export function toAttemptFailure(error: unknown): AttemptFailure {
  if (error instanceof pg.DatabaseError) return toDatabaseFailure(error);
  const cause = error instanceof Error ? error.message : String(error);
  return {
    ending: 'cut',
    outcome: 'unknown',
    errorCode: `CUT (${cause})`,
    retryAfterMs: undefined,
  };
}

/** The connection to the proxy could not be opened, so nothing was sent. */
export function toConnectFailure(error: unknown): AttemptFailure {
  const failure = error instanceof pg.DatabaseError ? toDatabaseFailure(error) : undefined;
  return {
    ending: 'terminated',
    outcome: 'not-run',
    errorCode: failure?.errorCode ?? 'CONNECT',
    retryAfterMs: failure?.retryAfterMs,
  };
}

/** True if the proxy refused the session's token, for example because its key is no longer configured. */
export function isTokenRefused(failure: AttemptFailure): boolean {
  return failure.errorCode.startsWith('MS-SESSION-TOKEN-');
}

/** The request's deadline passed while its session was busy: it was never sent. */
export const NOT_SENT: AttemptFailure = {
  ending: 'terminated',
  outcome: 'not-run',
  errorCode: 'NOT-SENT',
  retryAfterMs: undefined,
};

/** The caller stopped waiting for the response. */
export const ABANDONED: AttemptFailure = {
  ending: 'abandoned',
  outcome: 'unknown',
  errorCode: 'ABANDONED',
  retryAfterMs: undefined,
};

function toDatabaseFailure(error: pg.DatabaseError): AttemptFailure {
  const [, code, outcomeText] = DETAIL_PATTERN.exec(error.detail ?? '') ?? [];
  const statedOutcome = OUTCOMES.get(outcomeText ?? '');
  const isShutdown = error.code === ADMIN_SHUTDOWN;
  const defaultOutcome = error.code === RESOLUTION_UNKNOWN ? 'unknown' : 'failed';
  // A shutdown error that states no outcome was sent between requests: this request was not accepted.
  const outcome = statedOutcome ?? (isShutdown ? 'not-run' : defaultOutcome);
  const [, delay] = RETRY_HINT_PATTERN.exec(error.hint ?? '') ?? [];
  return {
    ending: isShutdown || error.severity === 'FATAL' ? toFatalEnding(outcome) : 'answered',
    outcome,
    errorCode: code ?? error.code ?? 'UNKNOWN',
    retryAfterMs: delay === undefined ? undefined : Number(delay),
  };
}

/** The error ends the connection, either before the proxy accepted the request or during it. */
function toFatalEnding(outcome: RequestOutcome): RequestEnding {
  return outcome === 'not-run' ? 'terminated' : 'cut';
}
