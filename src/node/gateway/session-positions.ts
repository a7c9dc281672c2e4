/**
 * The position up to which one caller's session has read and written in its group, and how it moves
 * between nodes: in a token that the caller carries, and on home nodes if the session has an id.
 */

import type { Result } from 'neverthrow';
import type { RequestError } from '../../core/errors.js';
import type { Position } from '../../core/position.js';
import type { Access, GroupName, SessionRequirement, TenantName } from '../../core/request.js';
import {
  decodeSessionToken,
  encodeSessionToken,
  freshSession,
  markUnknown,
  mergeSessions,
  observe,
  requirementFor,
  SESSION_POSITION_LOST_CODE,
  type SessionKeys,
  type SessionState,
  type SessionTokenError,
} from '../../core/session/index.js';
import type { Milliseconds } from '../../core/units.js';
import type { SessionDirectory } from './session-directory.js';

/** Dependencies of a session's positions. */
export interface SessionPositionsOptions {
  readonly tenant: TenantName;
  readonly group: GroupName;
  /** Undefined if the session moves between nodes by its token only. */
  readonly sessionId: string | undefined;
  readonly keys: SessionKeys;
  readonly directory: SessionDirectory;
}

/** The positions that one session has observed, and their record on home nodes. */
export class SessionPositions {
  readonly #options: SessionPositionsOptions;
  #state: SessionState = freshSession();

  constructor(options: SessionPositionsOptions) {
    this.#options = options;
  }

  /** The position that an instance must have reached to serve the next request. */
  requirement(): SessionRequirement {
    return requirementFor(this.#state, this.#options.group);
  }

  /** The current token for the caller. */
  token(): string {
    return encodeSessionToken(this.#state, this.#options.tenant, this.#options.keys);
  }

  /** Merges the positions of a token that the caller sent. */
  mergeToken(token: string): Result<void, SessionTokenError> {
    return decodeSessionToken(token, this.#options.tenant, this.#options.keys)
      .andTee((decoded) => {
        this.#state = mergeSessions(this.#state, decoded);
      })
      .map(() => undefined);
  }

  /** Merges the positions that the home nodes have for the session's id. Never fails. */
  async lookUp(): Promise<void> {
    const { tenant, sessionId, directory } = this.#options;
    if (sessionId === undefined) return;
    this.#state = mergeSessions(this.#state, await directory.lookUp(tenant, sessionId));
  }

  /**
   * Records a position; true if it changes the requirement, so that the caller needs a new token.
   */
  observe(position: Position, fromReplica: boolean): boolean {
    const before = this.requirement();
    const source = fromReplica ? 'unconfirmed' : 'confirmed-primary';
    this.#state = observe(this.#state, this.#options.group, position, source);
    return before !== this.requirement();
  }

  /**
   * True if after this error the known position no longer covers everything that the session has to
   * see: the next read then needs a confirmed primary, and the caller needs a new token.
   */
  recordFailure(error: RequestError): boolean {
    const mayHaveCommitted = error.outcome === 'unknown' || error.outcome === 'done';
    const losesPosition = mayHaveCommitted || error.code === SESSION_POSITION_LOST_CODE;
    if (losesPosition) this.#state = markUnknown(this.#state, this.#options.group);
    return losesPosition;
  }

  /**
   * True if the home nodes must have stored the position before the request's end is reported to
   * the caller. A read that only raised a known position is not worth a round trip to them.
   */
  needsRecord(access: Access | undefined, before: SessionRequirement): boolean {
    if (this.#options.sessionId === undefined) return false;
    return access === 'write' || before.type === 'unknown';
  }

  /** True once enough home nodes have stored the position; retried until the request's deadline. */
  async record(position: Position, remainingMs: Milliseconds): Promise<boolean> {
    const { tenant, sessionId, directory, group } = this.#options;
    if (sessionId === undefined) return true;
    return directory.record(tenant, sessionId, { group, position }, remainingMs);
  }
}
