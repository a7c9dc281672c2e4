/** Checks the parameters of a caller's StartupMessage and lists the parameters reported in response. */
import { type RequestError, UnsupportedFeatureError } from '../../core/errors.js';
import { StartupParameterError } from './errors.js';

const UTF8_NAMES: ReadonlySet<string> = new Set(['utf8', 'utf-8', 'unicode']);

/** Returns an error for an unsupported parameter; the handler checks the other parameters. */
export function findUnsupportedParameter(
  parameters: ReadonlyMap<string, string>,
): RequestError | undefined {
  if (parameters.has('replication')) return new UnsupportedFeatureError('replication');
  const encoding = (parameters.get('client_encoding') ?? 'utf8').replaceAll(/['"]/g, '');
  if (UTF8_NAMES.has(encoding.toLowerCase())) return undefined;
  return new StartupParameterError('client_encoding', 'only UTF8 is supported');
}

/**
 * ParameterStatus values at start-up, as PostgreSQL 15 sends them with its default settings. Pooled
 * connections always have these settings.
 */
export function reportedParameters(
  user: string,
  applicationName: string,
  serverVersion: string,
): readonly (readonly [name: string, value: string])[] {
  return [
    ['application_name', applicationName],
    ['client_encoding', 'UTF8'],
    ['DateStyle', 'ISO, MDY'],
    ['default_transaction_read_only', 'off'],
    ['in_hot_standby', 'off'],
    ['integer_datetimes', 'on'],
    ['IntervalStyle', 'postgres'],
    ['is_superuser', 'off'],
    ['server_encoding', 'UTF8'],
    ['server_version', serverVersion],
    ['session_authorization', user],
    ['standard_conforming_strings', 'on'],
    ['TimeZone', 'UTC'],
  ];
}
