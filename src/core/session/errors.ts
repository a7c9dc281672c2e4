/** Errors of session tokens and session positions; each fails a single request. */
import { type FailureOutcome, RequestError, SqlState, type SqlStateCode } from '../errors.js';
import type { GroupName } from '../request.js';

/** The session token can't be used. The session keeps the positions that it already had. */
export abstract class SessionTokenError extends RequestError {
  readonly outcome: FailureOutcome = 'not-run';
}

/** The text is not a session token: wrong format, truncated or with invalid characters. */
export class MalformedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-MALFORMED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor(readonly defect: string) {
    super(`malformed session token: ${defect}`);
  }
}

/** The text is longer than any token that a proxy issues. */
export class OversizedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-OVERSIZED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor(readonly lengthBytes: number) {
    super(`session token of ${lengthBytes} bytes is longer than allowed`);
  }
}

/** This release does not support the token's version. */
export class UnknownSessionTokenVersionError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-VERSION';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor() {
    super('unknown session token version');
  }
}

/** The token was signed with a key that is no longer, or not yet, configured. */
export class UnknownSessionTokenKeyError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-KEY';
  readonly sqlState: SqlStateCode = SqlState.INVALID_AUTHORIZATION;

  constructor() {
    super('session token was signed with a key that is not in force');
  }
}

/** The MAC does not match: the token was altered, forged or issued to another tenant. */
export class ForgedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-FORGED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_AUTHORIZATION;

  constructor() {
    super('session token is not valid for this tenant');
  }
}

/** Code by which a gateway recognizes the error when another node reports it. */
export const SESSION_POSITION_LOST_CODE = 'MS-SESSION-POSITION-LOST';

/**
 * The session's position is in none of the group's remaining logs, because the group lost data. The
 * position can never be reached, so the read is refused; the caller can discard the token and read
 * the current state.
 */
export class SessionPositionLostError extends RequestError {
  readonly code = SESSION_POSITION_LOST_CODE;
  readonly outcome: FailureOutcome = 'not-run';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor(
    readonly group: GroupName,
    readonly reason: 'beyond-log' | 'lost-at-promotion',
  ) {
    super(`the session's position in group ${group} is not in the log of its primary (${reason})`);
  }
}
