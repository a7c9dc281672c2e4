/**
 * Decides whether a session's position can be reached at all in a group's present log. The owner
 * asks this with the log of a primary that a majority confirmed after the request arrived; with an
 * unconfirmed view a position may seem to lie in the future only because the view is old.
 */
import { err, ok, type Result } from 'neverthrow';
import { comparePositions, type Position } from '../position.js';
import type { GroupName } from '../request.js';
import { SessionPositionLostError } from './errors.js';

/** The log of a confirmed primary. */
export interface ConfirmedLog {
  readonly group: GroupName;
  /** Its current write position. */
  readonly end: Position;
  /** LSN at which its timeline left the one before; undefined if it can't be told. */
  readonly timelineStart: bigint | undefined;
}

/**
 * Ok if the log holds the position. A position on an earlier timeline is held only up to where the
 * present timeline left it; without that LSN it is taken as held, as PostgreSQL's promotion of the
 * replica that received most makes it.
 */
export function checkPosition(
  required: Position,
  log: ConfirmedLog,
): Result<void, SessionPositionLostError> {
  if (comparePositions(required, log.end) > 0) {
    return err(new SessionPositionLostError(log.group, 'beyond-log'));
  }
  const onEarlierTimeline = required.timeline === log.end.timeline - 1;
  const start = log.timelineStart;
  if (onEarlierTimeline && start !== undefined && required.lsn > start) {
    return err(new SessionPositionLostError(log.group, 'lost-at-promotion'));
  }
  return ok();
}
