/** Structured logging on loglevel: a line for each change of state, as JSON or readable text. */
import loglevel from 'loglevel';

export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';
export type LogFields = Readonly<Record<string, unknown>>;

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: 'json' | 'text';
  /** Bound to every line, such as the node id. */
  readonly fields: LogFields;
}

export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** A logger that writes to standard error. */
export function createLogger(options: LoggerOptions): Logger {
  const logger = loglevel.getLogger('meadowstack');
  logger.methodFactory = (level) => (event: string, fields: LogFields) => {
    const line = { time: new Date().toISOString(), level, event, ...options.fields, ...fields };
    process.stderr.write(`${options.format === 'json' ? asJson(line) : asText(line)}\n`);
  };
  logger.setLevel(options.level, false);
  return {
    debug: (event, fields = {}) => logger.debug(event, fields),
    info: (event, fields = {}) => logger.info(event, fields),
    warn: (event, fields = {}) => logger.warn(event, fields),
    error: (event, fields = {}) => logger.error(event, fields),
  };
}

function asJson(line: LogFields): string {
  return JSON.stringify(line, (_key, value) => (typeof value === 'bigint' ? String(value) : value));
}

function asText(line: LogFields): string {
  const { time, level, event, ...rest } = line;
  const fields = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`);
  return `${String(time)} ${String(level).toUpperCase()} ${String(event)} ${fields.join(' ')}`;
}
