/**
 * One query that tells an instance's role, timeline and positions, with PostgreSQL's own functions.
 *
 * The timeline: `pg_control_checkpoint()` reads the control file, which after a promotion names the
 * new timeline only from the next checkpoint on (a promotion asks for one, but does not wait for
 * it). A primary that has just been promoted would report its old timeline, and a write there
 * would look as if it had run on the deposed primary. So on a primary the timeline comes from
 * `pg_walfile_name(pg_current_wal_lsn())`, whose first eight hexadecimal digits are the timeline
 * that is being written at this moment. That function is refused during recovery.
 *
 * On a replica the control file follows only at restart points. For what was replayed that is the
 * safe side: the replica counts as less far than it is. For the question whether a later timeline
 * exists it is not: a replica that already follows the new primary would vouch for the deposed
 * one. So the timeline of what was received is `pg_stat_wal_receiver.received_tli`, if it is later.
 * It is NULL while no primary is followed, or if the role lacks `pg_read_all_stats`.
 *
 * Both positions are NULL on a replica that never streamed; zero stands for them.
 */
import { err, ok, Result } from 'neverthrow';
import type { MeadowstackError } from '../../core/errors.js';
import type { InstanceState } from '../../core/group/contract.js';
import { parseLsn } from '../../core/position.js';
import { TwoGenerationCache } from '../two-generation-cache.js';
import { PositionAnswerError } from './errors.js';
import type { TextRow } from './rows.js';

export const POSITION_QUERY =
  'SELECT pg_is_in_recovery(), ' +
  '(SELECT timeline_id FROM pg_control_checkpoint()), ' +
  'CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_walfile_name(pg_current_wal_lsn()) END, ' +
  '(SELECT received_tli FROM pg_stat_wal_receiver), ' +
  'CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END, ' +
  'CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END';

const COLUMNS = 6;
/** Answers kept parsed. */
const KEPT_STATES = 512;
const MAXIMUM_ROW_CHARACTERS = 128;
const ZERO_LSN = '0/0';
const TRUE = 't';
const FALSE = 'f';
const TIMELINE_PATTERN = /^\d{1,10}$/;
const WAL_FILE_PATTERN = /^([0-9A-F]{8})[0-9A-F]{16}$/;
const HEXADECIMAL = 16;

const parsedStates = new TwoGenerationCache<InstanceState>(
  KEPT_STATES,
  KEPT_STATES * MAXIMUM_ROW_CHARACTERS,
);

/** Reads the answer to `POSITION_QUERY`. */
export function parseInstanceState(
  rows: readonly TextRow[],
): Result<InstanceState, MeadowstackError> {
  const [row] = rows;
  if (rows.length !== 1 || row === undefined || row.length !== COLUMNS) {
    return err(new PositionAnswerError('the answer is not one row of six columns'));
  }
  // Between two writes all answers of an instance are the same.
  const key = row.join();
  const known = parsedStates.get(key);
  if (known !== undefined) return ok(known);
  return parseRow(row).andTee((state) => parsedStates.set(key, state));
}

function parseRow(row: TextRow): Result<InstanceState, MeadowstackError> {
  const [inRecovery, controlTimeline, walFile, receivedTimeline, replayed, received] = row;
  if (inRecovery !== TRUE && inRecovery !== FALSE) {
    return err(new PositionAnswerError('pg_is_in_recovery() is not a boolean'));
  }
  const writable = inRecovery === FALSE;
  const replayedTimeline = writable ? timelineOfWalFile(walFile) : timelineOf(controlTimeline);
  const laterTimeline = receivedTimeline == null ? ok(0) : timelineOf(receivedTimeline);
  const lsns = Result.combine([parseLsn(replayed ?? ZERO_LSN), parseLsn(received ?? ZERO_LSN)]);
  return Result.combine([replayedTimeline, laterTimeline]).andThen(([timeline, later]) =>
    lsns.map(
      ([replayedLsn, receivedLsn]): InstanceState => ({
        writable,
        replayedPosition: { timeline, lsn: replayedLsn },
        receivedPosition: {
          timeline: writable ? timeline : Math.max(timeline, later),
          lsn: receivedLsn,
        },
      }),
    ),
  );
}

function timelineOf(text: string | null | undefined): Result<number, PositionAnswerError> {
  if (typeof text === 'string' && TIMELINE_PATTERN.test(text)) return ok(Number(text));
  return err(new PositionAnswerError('a timeline is not a number'));
}

function timelineOfWalFile(text: string | null | undefined): Result<number, PositionAnswerError> {
  const digits = typeof text === 'string' ? WAL_FILE_PATTERN.exec(text)?.[1] : undefined;
  if (digits !== undefined) return ok(Number.parseInt(digits, HEXADECIMAL));
  return err(new PositionAnswerError('pg_walfile_name() is not the name of a log file'));
}
