/**
 * Parses the first message of a connection, which has no type byte. Source: PostgreSQL manual,
 * "Message Flow", "Start-up", and "Message Formats".
 */
import { err, ok, type Result } from 'neverthrow';
import { ProtocolViolationError } from '../errors.js';
import { StartupParameterError } from './errors.js';

const CANCEL_REQUEST_CODE = 80877102;
const SSL_REQUEST_CODE = 80877103;
const GSSENC_REQUEST_CODE = 80877104;
const PROTOCOL_MAJOR_VERSION = 3;
const CODE_OFFSET = 4;
const PARAMETERS_OFFSET = 8;
const CANCEL_REQUEST_BYTES = 16;

/** Prefix of protocol options. A server returns the names of those that it doesn't support. */
const PROTOCOL_OPTION_PREFIX = '_pq_.';

export interface StartupMessage {
  readonly type: 'startup';
  readonly minorVersion: number;
  readonly user: string;
  readonly database: string;
  /** By lower-case name, including those given inside `options`. */
  readonly parameters: ReadonlyMap<string, string>;
  /** Names of `_pq_.` options, none of which is supported. */
  readonly protocolOptions: readonly string[];
}

export type FirstMessage =
  | StartupMessage
  | { readonly type: 'ssl-request' }
  | { readonly type: 'gssenc-request' }
  | { readonly type: 'cancel-request'; readonly processId: number; readonly secretKey: number };

export type StartupError = ProtocolViolationError | StartupParameterError;

/** Parses a complete first message, including its length field. */
export function parseFirstMessage(message: Buffer): Result<FirstMessage, StartupError> {
  if (message.length < PARAMETERS_OFFSET) {
    return err(new ProtocolViolationError('start-up packet is too short'));
  }
  const code = message.readInt32BE(CODE_OFFSET);
  if (code === SSL_REQUEST_CODE) return ok({ type: 'ssl-request' });
  if (code === GSSENC_REQUEST_CODE) return ok({ type: 'gssenc-request' });
  if (code === CANCEL_REQUEST_CODE) return parseCancelRequest(message);
  const major = code >>> 16;
  if (major !== PROTOCOL_MAJOR_VERSION) {
    return err(new ProtocolViolationError(`unsupported frontend protocol version ${major}`));
  }
  return parseStartupMessage(message, code & 0xffff);
}

function parseCancelRequest(message: Buffer): Result<FirstMessage, StartupError> {
  if (message.length !== CANCEL_REQUEST_BYTES) {
    return err(new ProtocolViolationError('malformed CancelRequest'));
  }
  const processId = message.readInt32BE(8);
  const secretKey = message.readInt32BE(12);
  return ok({ type: 'cancel-request', processId, secretKey });
}

function parseStartupMessage(
  message: Buffer,
  minorVersion: number,
): Result<FirstMessage, StartupError> {
  const pairs = readPairs(message);
  if (pairs === undefined) return err(new ProtocolViolationError('malformed StartupMessage'));
  const parameters = new Map<string, string>();
  const protocolOptions: string[] = [];
  for (const [name, value] of pairs) {
    if (name.startsWith(PROTOCOL_OPTION_PREFIX)) protocolOptions.push(name);
    else parameters.set(name.toLowerCase(), value);
  }
  const added = extractCommandLineOptions(parameters);
  if (added.isErr()) return err(added.error);
  const user = parameters.get('user') ?? '';
  if (user === '') return err(new StartupParameterError('user', 'no user name given'));
  const database = parameters.get('database') || user;
  return ok({ type: 'startup', minorVersion, user, database, parameters, protocolOptions });
}

/** Reads pairs of zero-terminated strings up to an empty name; undefined if that is missing. */
function readPairs(message: Buffer): [string, string][] | undefined {
  const strings: string[] = [];
  let offset = PARAMETERS_OFFSET;
  while (offset < message.length) {
    const end = message.indexOf(0, offset);
    if (end === -1) return undefined;
    if (end === offset && strings.length % 2 === 0) {
      return end === message.length - 1 ? toPairs(strings) : undefined;
    }
    strings.push(message.toString('utf8', offset, end));
    offset = end + 1;
  }
  return undefined;
}

function toPairs(strings: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < strings.length; index += 2) {
    pairs.push([strings[index] ?? '', strings[index + 1] ?? '']);
  }
  return pairs;
}

/** Adds each `-c name=value` and `--name=value` of the `options` parameter as a parameter of its own. */
function extractCommandLineOptions(parameters: Map<string, string>): Result<void, StartupError> {
  const words = splitOptions(parameters.get('options') ?? '');
  for (let index = 0; index < words.length; index += 1) {
    let word = words[index] ?? '';
    if (word === '-c') {
      index += 1;
      word = `-c${words[index] ?? ''}`;
    }
    const match = /^(?:-c|--)([A-Za-z_][\w.-]*)=(.*)$/s.exec(word);
    if (match === null) {
      return err(new StartupParameterError('options', 'only "-c name=value" is supported'));
    }
    parameters.set((match[1] ?? '').replaceAll('-', '_').toLowerCase(), match[2] ?? '');
  }
  return ok(undefined);
}

/** Splits at white space; a backslash takes the next character literally. */
function splitOptions(options: string): string[] {
  const words = options.match(/(?:\\[\s\S]|[^\s\\])+/g) ?? [];
  return words.map((word) => word.replace(/\\([\s\S])/g, '$1'));
}
