/** Errors of session tokens and session positions; each ends one request and harms no other. */
import { type FailureOutcome, RequestError, SqlState, type SqlStateCode } from '../errors.js';
import type { GroupName } from '../request.js';

/** A session token that can't be used. The session keeps the positions it had before. */
export abstract class SessionTokenError extends RequestError {
  readonly outcome: FailureOutcome = 'not-run';
}

/** The text is not a token of this project: wrong shape, truncated or with foreign characters. */
export class MalformedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-MALFORMED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor(readonly defect: string) {
    super(`malformed session token: ${defect}`);
  }
}

/** The text is longer than any token that this project hands out. */
export class OversizedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-OVERSIZED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor(readonly lengthBytes: number) {
    super(`session token of ${lengthBytes} bytes is longer than allowed`);
  }
}

/** The token has a version that this release does not know. */
export class UnknownSessionTokenVersionError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-VERSION';
  readonly sqlState: SqlStateCode = SqlState.INVALID_PARAMETER_VALUE;

  constructor() {
    super('unknown session token version');
  }
}

/** The token was signed with a key that is no longer, or not yet, in force. */
export class UnknownSessionTokenKeyError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-KEY';
  readonly sqlState: SqlStateCode = SqlState.INVALID_AUTHORIZATION;

  constructor() {
    super('session token was signed with a key that is not in force');
  }
}

/** The MAC does not fit: the token was altered, forged or handed out to another tenant. */
export class ForgedSessionTokenError extends SessionTokenError {
  readonly code = 'MS-SESSION-TOKEN-FORGED';
  readonly sqlState: SqlStateCode = SqlState.INVALID_AUTHORIZATION;

  constructor() {
    super('session token is not valid for this tenant');
  }
}

/** Code by which a gateway knows the error when another node reports it. */
export const SESSION_POSITION_LOST_CODE = 'MS-SESSION-POSITION-LOST';

/**
 * The session's position is in no log that the group still has: the group lost data. Waiting would
 * never end, so the read is refused; the caller drops the token and reads the state as it is.
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
