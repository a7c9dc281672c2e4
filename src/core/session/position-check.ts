/**
 * Checks whether a session's position is in a group's current log. The owner must pass the log of a
 * primary that a majority confirmed after the request arrived: if the primary is unconfirmed, a
 * position may appear to be beyond the log only because the owner's state is out of date.
 */
import { err, ok, type Result } from 'neverthrow';
import { comparePositions, type Position } from '../position.js';
import type { GroupName } from '../request.js';
import { SessionPositionLostError } from './errors.js';

/** The log of a confirmed primary. */
export interface ConfirmedLog {
  readonly group: GroupName;
  /** The primary's current write position. */
  readonly end: Position;
  /** LSN at which its timeline branched off the previous one; undefined if it is not known. */
  readonly timelineStart: bigint | undefined;
}

/**
 * Ok if the log contains the position. Of the previous timeline, the log contains only what is up
 * to `timelineStart`. If that LSN is not known, the position is assumed to be contained: PostgreSQL
 * is expected to have promoted the replica that had received the most log.
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
