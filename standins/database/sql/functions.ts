/** Scalar functions of the SQL subset. */
import { ServerError, ServerSqlState } from '../errors.js';
import type { EvaluationContext } from './evaluation.js';
import { formatTimestamp, formatValue, type TypeName, type Value } from './types.js';

export interface ScalarFunction {
  readonly type: TypeName | 'of-first-argument';
  readonly minArguments: number;
  readonly maxArguments: number;
  /** True if the result is null, without a call, when an argument is null. */
  readonly strict: boolean;
  readonly call: (values: readonly Value[], context: EvaluationContext) => Value;
}

/** Functions that report an instance's state: statements that call only these take no slot. */
export const STATUS_FUNCTIONS: ReadonlySet<string> = new Set([
  'pg_is_in_recovery',
  'pg_current_wal_lsn',
  'pg_last_wal_replay_lsn',
  'pg_last_wal_receive_lsn',
  'pg_control_checkpoint',
  'pg_control_system',
  'pg_walfile_name',
]);

const REPEAT_MAX_CHARACTERS = 64 * 1024 * 1024;
const HEXADECIMAL = 16;
/** PostgreSQL's default segment size. */
const WAL_SEGMENT_BYTES = 16 * 1024 * 1024;
const WAL_NAME_PART_DIGITS = 8;
const SERVER_VERSION_TEXT = 'PostgreSQL 16.0 (meadowstack stand-in)';

function defineFunction(
  type: ScalarFunction['type'],
  [minArguments, maxArguments]: readonly [number, number],
  call: ScalarFunction['call'],
  strict = true,
): ScalarFunction {
  return { type, minArguments, maxArguments, strict, call };
}

const NO_ARGUMENTS = [0, 0] as const;
const ONE_ARGUMENT = [1, 1] as const;
const TWO_ARGUMENTS = [2, 2] as const;

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

/** Name of the segment file that contains the LSN: timeline, then log and segment number. */
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
  pg_is_in_recovery: defineFunction('bool', NO_ARGUMENTS, (_, { instance }) =>
    instance.isInRecovery(),
  ),
  pg_current_wal_lsn: defineFunction('pg_lsn', NO_ARGUMENTS, (_, { instance }) =>
    instance.currentLsn(),
  ),
  pg_last_wal_replay_lsn: defineFunction('pg_lsn', NO_ARGUMENTS, (_, { instance }) =>
    instance.replayedLsn(),
  ),
  pg_last_wal_receive_lsn: defineFunction('pg_lsn', NO_ARGUMENTS, (_, { instance }) =>
    instance.receivedLsn(),
  ),
  pg_walfile_name: defineFunction('text', ONE_ARGUMENT, ([lsn], { instance }) =>
    walFileName(text(lsn), instance),
  ),
  pg_backend_pid: defineFunction('int4', NO_ARGUMENTS, (_, { instance }) => instance.backendPid()),
  pg_sleep: defineFunction('void', ONE_ARGUMENT, ([seconds], context) => sleep(seconds, context)),
  now: defineFunction('timestamptz', NO_ARGUMENTS, transactionTime),
  transaction_timestamp: defineFunction('timestamptz', NO_ARGUMENTS, transactionTime),
  clock_timestamp: defineFunction('timestamptz', NO_ARGUMENTS, () =>
    formatTimestamp('timestamptz', Date.now()),
  ),
  version: defineFunction('text', NO_ARGUMENTS, () => SERVER_VERSION_TEXT),
  current_database: defineFunction('text', NO_ARGUMENTS, (_, { instance }) =>
    instance.databaseName(),
  ),
  current_schema: defineFunction('text', NO_ARGUMENTS, () => 'public'),
  current_setting: defineFunction('text', [1, 2], currentSetting),
  set_config: defineFunction('text', [3, 3], changeSetting),
  repeat: defineFunction('text', TWO_ARGUMENTS, ([value, count]) => repeat(value, count)),
  length: defineFunction('int4', ONE_ARGUMENT, ([value]) => text(value).length),
  upper: defineFunction('text', ONE_ARGUMENT, ([value]) => text(value).toUpperCase()),
  lower: defineFunction('text', ONE_ARGUMENT, ([value]) => text(value).toLowerCase()),
  concat: defineFunction('text', [1, 100], (values) => values.map(text).join(''), false),
  abs: defineFunction('of-first-argument', ONE_ARGUMENT, ([value]) => Math.abs(Number(value))),
  mod: defineFunction(
    'of-first-argument',
    TWO_ARGUMENTS,
    ([left, right]) => Number(left) % Number(right),
  ),
  coalesce: defineFunction(
    'of-first-argument',
    [1, 100],
    (values) => values.find((value) => value !== null) ?? null,
    false,
  ),
  greatest: defineFunction(
    'of-first-argument',
    [1, 100],
    (values) => selectExtreme(values, 1),
    false,
  ),
  least: defineFunction(
    'of-first-argument',
    [1, 100],
    (values) => selectExtreme(values, -1),
    false,
  ),
};

function selectExtreme(values: readonly Value[], direction: number): Value {
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
