/**
 * What one caller's session has seen and written in its group, and how that travels: the token that
 * the caller carries, and the record on home nodes if the session has an id.
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

/** What a session's positions are made of. */
export interface SessionPositionsOptions {
  readonly tenant: TenantName;
  readonly group: GroupName;
  /** Undefined if the session moves with its token only. */
  readonly sessionId: string | undefined;
  readonly keys: SessionKeys;
  readonly directory: SessionDirectory;
}

/** What one session has seen, and where that is written down. */
export class SessionPositions {
  readonly #options: SessionPositionsOptions;
  #state: SessionState = freshSession();

  constructor(options: SessionPositionsOptions) {
    this.#options = options;
  }

  /** What the next request must have seen. */
  requirement(): SessionRequirement {
    return requirementFor(this.#state, this.#options.group);
  }

  /** The token as the caller should carry it now. */
  token(): string {
    return encodeSessionToken(this.#state, this.#options.tenant, this.#options.keys);
  }

  /** Takes in a token that the caller brought. */
  adopt(token: string): Result<void, SessionTokenError> {
    return decodeSessionToken(token, this.#options.tenant, this.#options.keys)
      .andTee((told) => {
        this.#state = mergeSessions(this.#state, told);
      })
      .map(() => undefined);
  }

  /** Takes in what the home nodes know of the session's id. Never fails. */
  async lookUp(): Promise<void> {
    const { tenant, sessionId, directory } = this.#options;
    if (sessionId === undefined) return;
    this.#state = mergeSessions(this.#state, await directory.lookUp(tenant, sessionId));
  }

  /** True if the position is news, so that the caller should be given a new token. */
  observe(position: Position, fromReplica: boolean): boolean {
    const before = this.requirement();
    const source = fromReplica ? 'unconfirmed' : 'confirmed-primary';
    this.#state = observe(this.#state, this.#options.group, position, source);
    return before !== this.requirement();
  }

  /**
   * After these errors the position known so far does not tell any more what the session has to see:
   * the next read needs a confirmed primary. True if so; the caller should be given a new token.
   */
  failed(error: RequestError): boolean {
    const mayLast = error.outcome === 'unknown' || error.outcome === 'done';
    const forgets = mayLast || error.code === SESSION_POSITION_LOST_CODE;
    if (forgets) this.#state = markUnknown(this.#state, this.#options.group);
    return forgets;
  }

  /**
   * True if the caller must not be told of its request before the home nodes keep the position. A
   * read that raised a known position is not worth a round to them.
   */
  needsRecord(access: Access | undefined, before: SessionRequirement): boolean {
    if (this.#options.sessionId === undefined) return false;
    return access === 'write' || before.type === 'unknown';
  }

  /** True once enough home nodes keep the position; tried for what is left of the request's time. */
  async record(position: Position, remainingMs: Milliseconds): Promise<boolean> {
    const { tenant, sessionId, directory, group } = this.#options;
    if (sessionId === undefined) return true;
    return directory.record(tenant, sessionId, { group, position }, remainingMs);
  }
}
