/**
 * Structured logging based on loglevel. Lines report changes of state rather than every request; requests are
 * counted (see `metrics.ts`). Loggers have bound fields, such as the node's name.
 */
import loglevel, { type LogLevelDesc } from 'loglevel';
import { MeadowstackError } from '../core/errors.js';

export type LogFormat = 'json' | 'text';
/** Lowest level that is written. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
/** Fields of one line; undefined ones are omitted. */
export type LogFields = Readonly<Record<string, unknown>>;

export interface LoggerOptions {
  readonly format: LogFormat;
  readonly level: LogLevel;
  /** Fields of every line. */
  readonly fields?: LogFields;
  /** Receives a line without its terminator; writes to standard error by default. */
  readonly write?: (line: string) => void;
  /** Timestamp of a line; the wall clock by default. */
  readonly now?: () => Date;
}

/** A logger with bound fields. */
export interface Logger {
  /** `fields` is called only if the debug level is enabled, because debug lines come with every request. */
  debug(event: string, fields: () => LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  /** A logger that adds these fields to every line. */
  child(fields: LogFields): Logger;
}

/** One line before formatting. */
interface LogEntry {
  readonly time: string;
  readonly level: string;
  readonly event: string;
  readonly fields: LogFields;
}

const NEEDS_QUOTES = /[\s"=]/;
let loggersCreated = 0;

export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? ((line) => process.stderr.write(`${line}\n`));
  const now = options.now ?? (() => new Date());
  const format = options.format === 'json' ? formatJson : formatText;
  loggersCreated += 1;
  // A unique name, so that two nodes in one process don't share a level.
  const underlying = loglevel.getLogger(`meadowstack-${loggersCreated}`);
  underlying.methodFactory =
    (level) =>
    (event: string, fields: LogFields): void =>
      write(format({ time: now().toISOString(), level, event, fields }));
  underlying.setLevel(options.level satisfies LogLevelDesc, false);
  return bind(underlying, options.fields ?? {});
}

function bind(underlying: loglevel.Logger, bound: LogFields): Logger {
  return {
    debug: (event, fields) => {
      if (underlying.getLevel() > loglevel.levels.DEBUG) return;
      underlying.debug(event, { ...bound, ...fields() });
    },
    info: (event, fields) => underlying.info(event, { ...bound, ...fields }),
    warn: (event, fields) => underlying.warn(event, { ...bound, ...fields }),
    error: (event, fields) => underlying.error(event, { ...bound, ...fields }),
    child: (fields) => bind(underlying, { ...bound, ...fields }),
  };
}

/** Log fields that describe an error. */
export function errorFields(error: Error): LogFields {
  const code = error instanceof MeadowstackError ? error.code : undefined;
  return { error: error.name, code, reason: error.message };
}

function formatJson({ time, level, event, fields }: LogEntry): string {
  return JSON.stringify({ ...fields, time, level, event }, jsonValueOf);
}

/** Writes bigints, such as LSNs, as strings, since JSON.stringify rejects them. */
function jsonValueOf(_name: string, value: unknown): unknown {
  return typeof value === 'bigint' ? value.toString() : value;
}

function formatText({ time, level, event, fields }: LogEntry): string {
  const formattedFields = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${quoteIfNeeded(String(value))}`);
  return `${time} ${level.toUpperCase().padEnd(5)} ${quoteLineBreaks(event)}${formattedFields.join('')}`;
}

function quoteIfNeeded(text: string): string {
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Keeps every entry on one line. */
function quoteLineBreaks(text: string): string {
  return text.replaceAll('\n', '\\n').replaceAll('\r', '\\r');
}
