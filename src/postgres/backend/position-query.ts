/**
 * Query for an instance's role, timeline and log positions, with PostgreSQL's own functions.
 *
 * Timeline of a primary: `pg_control_checkpoint()` reads the control file, which after a promotion has the
 * new timeline only from the next checkpoint on (a promotion requests a checkpoint but doesn't wait for
 * it). So a newly promoted primary would report its old timeline, and a write there would seem to have run
 * on the replaced primary. On a primary the timeline is therefore taken from
 * `pg_walfile_name(pg_current_wal_lsn())`, whose first eight hexadecimal digits are the timeline that is
 * currently written. That function fails during recovery.
 *
 * Timeline of a replica: the control file is only updated at restart points. For the replayed position that
 * is safe: the replica is treated as being behind where it is. For detecting a later timeline it isn't
 * safe: a replica that already follows the new primary would confirm the replaced one. So the timeline of
 * the received position is `pg_stat_wal_receiver.received_tli` if that is later. It is NULL while the
 * replica follows no primary, or if the role lacks `pg_read_all_stats`.
 *
 * Both positions are NULL on a replica that has never streamed; they are then read as zero.
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

const COLUMN_COUNT = 6;
/** Parsed responses that are cached. */
const MAXIMUM_CACHED_STATES = 512;
const MAXIMUM_ROW_CHARACTERS = 128;
const ZERO_LSN = '0/0';
const TRUE = 't';
const FALSE = 'f';
const TIMELINE_PATTERN = /^\d{1,10}$/;
const WAL_FILE_PATTERN = /^([0-9A-F]{8})[0-9A-F]{16}$/;
const HEXADECIMAL = 16;

const parsedStates = new TwoGenerationCache<InstanceState>(
  MAXIMUM_CACHED_STATES,
  MAXIMUM_CACHED_STATES * MAXIMUM_ROW_CHARACTERS,
);

/** Parses the rows of `POSITION_QUERY`. */
export function parseInstanceState(
  rows: readonly TextRow[],
): Result<InstanceState, MeadowstackError> {
  const [row] = rows;
  if (rows.length !== 1 || row === undefined || row.length !== COLUMN_COUNT) {
    return err(new PositionAnswerError('the response is not one row of six columns'));
  }
  // Between two writes an instance always returns the same row, so parsed rows are cached.
  const key = row.join();
  const cached = parsedStates.get(key);
  if (cached !== undefined) return ok(cached);
  return parseRow(row).andTee((state) => parsedStates.set(key, state));
}

function parseRow(row: TextRow): Result<InstanceState, MeadowstackError> {
  const [inRecovery, controlTimeline, walFile, receivedTimeline, replayed, received] = row;
  if (inRecovery !== TRUE && inRecovery !== FALSE) {
    return err(new PositionAnswerError('pg_is_in_recovery() is not a boolean'));
  }
  const writable = inRecovery === FALSE;
  const replayedTimeline = writable
    ? parseWalFileTimeline(walFile)
    : parseTimeline(controlTimeline);
  const laterTimeline = receivedTimeline == null ? ok(0) : parseTimeline(receivedTimeline);
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

function parseTimeline(text: string | null | undefined): Result<number, PositionAnswerError> {
  if (typeof text === 'string' && TIMELINE_PATTERN.test(text)) return ok(Number(text));
  return err(new PositionAnswerError('a timeline is not a number'));
}

function parseWalFileTimeline(
  text: string | null | undefined,
): Result<number, PositionAnswerError> {
  const digits = typeof text === 'string' ? WAL_FILE_PATTERN.exec(text)?.[1] : undefined;
  if (digits !== undefined) return ok(Number.parseInt(digits, HEXADECIMAL));
  return err(new PositionAnswerError('pg_walfile_name() is not the name of a log file'));
}
