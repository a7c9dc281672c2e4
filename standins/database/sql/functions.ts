/** Scalar functions of the SQL subset. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { EvaluationContext } from './evaluation.js';
import { formatTimestamp, formatValue, type TypeName, type Value } from './types.js';

export interface ScalarFunction {
  readonly type: TypeName | 'of-first-argument';
  readonly minArguments: number;
  readonly maxArguments: number;
  /** Answers null without a call when an argument is null. */
  readonly strict: boolean;
  readonly call: (values: readonly Value[], context: EvaluationContext) => Value;
}

/** Functions that report an instance's state: statements of only these take no slot. */
export const STATUS_FUNCTIONS: ReadonlySet<string> = new Set([
  'pg_is_in_recovery',
  'pg_current_wal_lsn',
  'pg_last_wal_replay_lsn',
  'pg_last_wal_receive_lsn',
  'pg_control_checkpoint',
  'pg_walfile_name',
]);

const REPEAT_MAX_CHARACTERS = 64 * 1024 * 1024;
const HEXADECIMAL = 16;
/** PostgreSQL's default segment size. */
const WAL_SEGMENT_BYTES = 16 * 1024 * 1024;
const WAL_NAME_PART_DIGITS = 8;
const SERVER_VERSION_TEXT = 'PostgreSQL 16.0 (meadowstack stand-in)';

function define(
  type: ScalarFunction['type'],
  [minArguments, maxArguments]: readonly [number, number],
  call: ScalarFunction['call'],
  strict = true,
): ScalarFunction {
  return { type, minArguments, maxArguments, strict, call };
}

const NONE = [0, 0] as const;
const ONE = [1, 1] as const;
const TWO = [2, 2] as const;

function text(value: Value | undefined): string {
  return value === null || value === undefined ? '' : formatValue(value);
}

function repeat(value: Value | undefined, count: Value | undefined): string {
  const unit = text(value);
  const times = Math.max(0, Number(count));
  if (unit.length * times <= REPEAT_MAX_CHARACTERS) return unit.repeat(times);
  throw new ServerError(ServerSqlState.NUMERIC_OUT_OF_RANGE, 'requested length too large');
}

function sleep(seconds: Value | undefined, context: EvaluationContext): Value {
  context.sleepMs += Math.max(0, Number(seconds)) * 1_000;
  return '';
}

/** Name of the segment file that holds the LSN: timeline, then log and segment number. */
function walFileName(lsn: string, instance: EvaluationContext['instance']): string {
  const [high = '0', low = '0'] = lsn.split('/');
  const segment = Math.floor(Number.parseInt(low, HEXADECIMAL) / WAL_SEGMENT_BYTES);
  const digits = (value: number): string =>
    value.toString(HEXADECIMAL).toUpperCase().padStart(WAL_NAME_PART_DIGITS, '0');
  const log = Number.parseInt(high, HEXADECIMAL);
  return `${digits(instance.timeline())}${digits(log)}${digits(segment)}`;
}

function transactionTime(_values: readonly Value[], context: EvaluationContext): Value {
  return formatTimestamp('timestamptz', context.startedAtMs);
}

function currentSetting([name, missingOk]: readonly Value[], context: EvaluationContext): Value {
  const value = context.instance.setting(text(name).toLowerCase());
  if (value !== undefined) return value;
  if (missingOk === true || missingOk === 't' || missingOk === 'true') return null;
  const message = `unrecognized configuration parameter "${text(name)}"`;
  throw new ServerError(ServerSqlState.UNDEFINED_OBJECT, message);
}

function changeSetting([name, value]: readonly Value[], context: EvaluationContext): Value {
  context.instance.changeSetting(text(name).toLowerCase(), text(value));
  return text(value);
}

export const SCALAR_FUNCTIONS: Readonly<Record<string, ScalarFunction>> = {
  pg_is_in_recovery: define('bool', NONE, (_, { instance }) => instance.isInRecovery()),
  pg_current_wal_lsn: define('pg_lsn', NONE, (_, { instance }) => instance.currentLsn()),
  pg_last_wal_replay_lsn: define('pg_lsn', NONE, (_, { instance }) => instance.replayedLsn()),
  pg_last_wal_receive_lsn: define('pg_lsn', NONE, (_, { instance }) => instance.receivedLsn()),
  pg_walfile_name: define('text', ONE, ([lsn], { instance }) => walFileName(text(lsn), instance)),
  pg_backend_pid: define('int4', NONE, (_, { instance }) => instance.backendPid()),
  pg_sleep: define('void', ONE, ([seconds], context) => sleep(seconds, context)),
  now: define('timestamptz', NONE, transactionTime),
  transaction_timestamp: define('timestamptz', NONE, transactionTime),
  clock_timestamp: define('timestamptz', NONE, () => formatTimestamp('timestamptz', Date.now())),
  version: define('text', NONE, () => SERVER_VERSION_TEXT),
  current_database: define('text', NONE, (_, { instance }) => instance.databaseName()),
  current_schema: define('text', NONE, () => 'public'),
  current_setting: define('text', [1, 2], currentSetting),
  set_config: define('text', [3, 3], changeSetting),
  repeat: define('text', TWO, ([value, count]) => repeat(value, count)),
  length: define('int4', ONE, ([value]) => text(value).length),
  upper: define('text', ONE, ([value]) => text(value).toUpperCase()),
  lower: define('text', ONE, ([value]) => text(value).toLowerCase()),
  concat: define('text', [1, 100], (values) => values.map(text).join(''), false),
  abs: define('of-first-argument', ONE, ([value]) => Math.abs(Number(value))),
  mod: define('of-first-argument', TWO, ([left, right]) => Number(left) % Number(right)),
  coalesce: define(
    'of-first-argument',
    [1, 100],
    (values) => values.find((value) => value !== null) ?? null,
    false,
  ),
  greatest: define('of-first-argument', [1, 100], (values) => extreme(values, 1), false),
  least: define('of-first-argument', [1, 100], (values) => extreme(values, -1), false),
};

function extreme(values: readonly Value[], direction: number): Value {
  let best: Value = null;
  for (const value of values) {
    if (value === null) continue;
    if (best === null || compareValues(value, best) * direction > 0) best = value;
  }
  return best;
}

/** Order of two values of the same type that are not null. Text orders by code unit ("C"). */
export function compareValues(
  left: string | number | boolean,
  right: string | number | boolean,
): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
