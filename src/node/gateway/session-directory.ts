/** Where positions of sessions are kept that move between nodes with nothing but their id. */

import type { Position } from '../../core/position.js';
import type { GroupName, TenantName } from '../../core/request.js';
import type { SessionState } from '../../core/session/index.js';
import type { Milliseconds } from '../../core/units.js';

/** A session's position in one group. */
export interface GroupPositionEntry {
  readonly group: GroupName;
  readonly position: Position;
}

/** Keeps the positions of sessions that move with nothing but their id. */
export interface SessionDirectory {
  /** What the home nodes know; groups they can't vouch for are unknown. Never fails. */
  lookUp(tenant: TenantName, sessionId: string): Promise<SessionState>;
  /**
   * True once enough home nodes keep the position; false if they could not be reached in what is
   * left of the request's time.
   */
  record(
    tenant: TenantName,
    sessionId: string,
    entry: GroupPositionEntry,
    remainingMs: Milliseconds,
  ): Promise<boolean>;
}
