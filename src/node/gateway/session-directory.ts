/** Stores the positions of sessions that move between nodes by their id alone, without a token. */

import type { Position } from '../../core/position.js';
import type { GroupName, TenantName } from '../../core/request.js';
import type { SessionState } from '../../core/session/index.js';
import type { Milliseconds } from '../../core/units.js';

/** A session's position in one group. */
export interface GroupPositionEntry {
  readonly group: GroupName;
  readonly position: Position;
}

/** Stores the positions of sessions that move by their id alone. */
export interface SessionDirectory {
  /** The recorded positions; groups that the home nodes can't confirm are unknown. Never fails. */
  lookUp(tenant: TenantName, sessionId: string): Promise<SessionState>;
  /**
   * True once enough home nodes have stored the position; false if they could not be reached in
   * the time that the request has left.
   */
  record(
    tenant: TenantName,
    sessionId: string,
    entry: GroupPositionEntry,
    remainingMs: Milliseconds,
  ): Promise<boolean>;
}
