/** Data types of the SQL subset: object identifiers, parsing and formatting of values. */
import { ServerError, ServerSqlState, unsupportedError } from '../errors.js';

/** A value in memory. Timestamps are stored in PostgreSQL's text form (UTC), json as its text. */
export type Value = string | number | boolean | null;
export type Row = readonly Value[];

/** Object identifiers from PostgreSQL's pg_type catalogue. */
export const TYPE_OIDS = {
  bool: 16,
  int8: 20,
  int2: 21,
  int4: 23,
  text: 25,
  json: 114,
  float8: 701,
  unknown: 705,
  varchar: 1043,
  timestamp: 1114,
  timestamptz: 1184,
  numeric: 1700,
  void: 2278,
  uuid: 2950,
  pg_lsn: 3220,
  jsonb: 3802,
} as const;

export type TypeName = keyof typeof TYPE_OIDS;

const ALIASES: Readonly<Record<string, TypeName>> = {
  boolean: 'bool',
  bigint: 'int8',
  bigserial: 'int8',
  integer: 'int4',
  int: 'int4',
  serial: 'int4',
  smallint: 'int2',
  smallserial: 'int2',
  'character varying': 'varchar',
  character: 'varchar',
  char: 'varchar',
  bpchar: 'varchar',
  'double precision': 'float8',
  real: 'float8',
  float: 'float8',
  decimal: 'numeric',
  'timestamp with time zone': 'timestamptz',
  'timestamp without time zone': 'timestamp',
};

const INTEGER_LIMITS: Readonly<Partial<Record<TypeName, number>>> = {
  int2: 32_767,
  int4: 2_147_483_647,
  // Integers are JavaScript numbers: the stand-in rejects values that these can't represent exactly.
  int8: Number.MAX_SAFE_INTEGER,
};

const TYPE_BY_OID = new Map<number, TypeName>(
  Object.entries(TYPE_OIDS).map(([name, oid]) => [oid, name as TypeName]),
);

function isTypeName(name: string): name is TypeName {
  return Object.hasOwn(TYPE_OIDS, name);
}

/** The type with a name as written in SQL. @throws ServerError 42704 for an unknown name. */
export function typeByName(name: string): TypeName {
  const lower = name.toLowerCase();
  const known = isTypeName(lower) ? lower : ALIASES[lower];
  if (known !== undefined) return known;
  throw new ServerError(ServerSqlState.UNDEFINED_OBJECT, `type "${name}" does not exist`);
}

/** The type with an object identifier; undefined for 0 (unspecified) and `unknown`. */
export function typeByOid(oid: number): TypeName | undefined {
  if (oid === 0) return undefined;
  const type = TYPE_BY_OID.get(oid);
  if (type === undefined) throw unsupportedError(`parameters of type ${oid}`);
  return type === 'unknown' ? undefined : type;
}

export function isIntegerType(type: TypeName): boolean {
  return INTEGER_LIMITS[type] !== undefined;
}

export function isNumericType(type: TypeName): boolean {
  return isIntegerType(type) || type === 'float8' || type === 'numeric';
}

function invalidInputError(type: TypeName, text: string): ServerError {
  const shown = JSON.stringify(text.slice(0, 40));
  return new ServerError(
    ServerSqlState.INVALID_TEXT_REPRESENTATION,
    `invalid input syntax for type ${type}: ${shown}`,
  );
}

function parseInteger(type: TypeName, text: string, limit: number): number {
  const trimmed = text.trim();
  if (!/^[+-]?\d+$/.test(trimmed)) throw invalidInputError(type, text);
  return checkInteger(type, Number(trimmed), limit);
}

function checkInteger(type: TypeName, value: number, limit: number): number {
  if (value <= limit && value >= -limit - 1) return value;
  throw new ServerError(ServerSqlState.NUMERIC_OUT_OF_RANGE, `${type} out of range`);
}

function parseBoolean(text: string): boolean {
  const lower = text.trim().toLowerCase();
  if (['t', 'true', 'on', 'yes', '1', 'y'].includes(lower)) return true;
  if (['f', 'false', 'off', 'no', '0', 'n'].includes(lower)) return false;
  throw invalidInputError('bool', text);
}

/** Date, time of day and offset from UTC; the latter two are optional. */
const TIMESTAMP_PATTERN =
  /^(\d{4,}-\d{2}-\d{2})(?:[T ](\d{2}:\d{2}(?::\d{2}(?:\.\d+)?)?) ?(?:(Z|UTC)|([+-]\d{2}):?(\d{2})?)?)?$/i;

/** Without an offset the time is UTC; precision is milliseconds. */
function parseTimestamp(type: TypeName, text: string): string {
  const match = TIMESTAMP_PATTERN.exec(text.trim());
  if (match === null) throw invalidInputError(type, text);
  const [, date, time = '00:00', , hours, minutes = '00'] = match;
  const offset = hours === undefined ? 'Z' : `${hours}:${minutes}`;
  const milliseconds = Date.parse(`${date}T${time}${offset}`);
  if (Number.isNaN(milliseconds)) throw invalidInputError(type, text);
  return formatTimestamp(type, milliseconds);
}

/** Text form of a wall-clock time in milliseconds since the epoch. */
export function formatTimestamp(type: TypeName, milliseconds: number): string {
  const text = new Date(milliseconds).toISOString().replace('T', ' ').replace('Z', '');
  return type === 'timestamptz' ? `${text}+00` : text;
}

/** Parses a value of `type` from its text form. @throws ServerError 22P02 or 22003. */
export function parseValue(type: TypeName, text: string): Value {
  const limit = INTEGER_LIMITS[type];
  if (limit !== undefined) return parseInteger(type, text, limit);
  if (type === 'bool') return parseBoolean(text);
  if (type === 'float8' || type === 'numeric') return parseNumber(type, text);
  if (type === 'timestamptz' || type === 'timestamp') return parseTimestamp(type, text);
  if (type === 'json' || type === 'jsonb') return parseJson(type, text);
  return text;
}

function parseNumber(type: TypeName, text: string): number {
  const value = Number(text);
  if (text.trim() === '' || Number.isNaN(value)) throw invalidInputError(type, text);
  return value;
}

function parseJson(type: TypeName, text: string): string {
  try {
    JSON.parse(text);
    return text;
  } catch {
    throw invalidInputError(type, text);
  }
}

/** Text form of a value that is not null. */
export function formatValue(value: string | number | boolean): string {
  if (typeof value === 'string') return value;
  if (typeof value === 'number') return String(value);
  return value ? 't' : 'f';
}

/** Converts a value from type `from` to type `to`, as an assignment or a cast does. */
export function castValue(value: Value, from: TypeName, to: TypeName): Value {
  if (value === null || from === to) return value;
  const limit = INTEGER_LIMITS[to];
  if (typeof value === 'number' && limit !== undefined) {
    return checkInteger(to, Math.round(value), limit);
  }
  if (typeof value === 'boolean' && limit !== undefined) return value ? 1 : 0;
  if (typeof value === 'boolean' && to !== 'bool') return value ? 'true' : 'false';
  if (typeof value === 'number' && to === 'bool') return value !== 0;
  return parseValue(to, formatValue(value));
}

/** Parses a parameter in binary format: only int4, int8, text and varchar are supported. */
export function parseBinaryValue(type: TypeName, bytes: Buffer): Value {
  if (type === 'int4' && bytes.length === 4) return bytes.readInt32BE(0);
  if (type === 'int8' && bytes.length === 8)
    return parseValue(type, String(bytes.readBigInt64BE(0)));
  if (type === 'text' || type === 'varchar') return bytes.toString('utf8');
  throw unsupportedError(`binary parameters of type ${type}`);
}
