/** Decodes a client's messages of PostgreSQL protocol v3. */
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';
import { ServerError, ServerSqlState } from '../errors.js';

const TYPED_HEADER_BYTES = 5;
const STARTUP_HEADER_BYTES = 4;
const MAX_STARTUP_BYTES = 10_000;
const MAX_MESSAGE_BYTES = 128 * 1024 * 1024;

/** First message of a connection; `code` is a version or a request code. */
export interface StartupMessage {
  readonly code: number;
  readonly body: Buffer;
}

export interface FrontendMessage {
  /** The type byte as a character. */
  readonly type: string;
  readonly body: Buffer;
}

export const StartupCode = {
  PROTOCOL_3: 196_608,
  CANCEL_REQUEST: 80_877_102,
  SSL_REQUEST: 80_877_103,
  GSS_ENCRYPTION_REQUEST: 80_877_104,
} as const;

/** Splits a stream of bytes into messages. */
export class FrontendReader {
  private chunks: Buffer[] = [];
  private size = 0;

  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.size += chunk.length;
  }

  /** Number of bytes received and not yet returned as messages. */
  get buffered(): number {
    return this.size;
  }

  nextStartup(): StartupMessage | undefined {
    const length = this.peekLength(0);
    if (length === undefined) return undefined;
    if (length < 8 || length > MAX_STARTUP_BYTES) throw protocolViolationError('startup length');
    const message = this.take(length);
    if (message === undefined) return undefined;
    return { code: message.readInt32BE(STARTUP_HEADER_BYTES), body: message.subarray(8) };
  }

  next(): FrontendMessage | undefined {
    const length = this.peekLength(1);
    if (length === undefined) return undefined;
    if (length < 4 || length > MAX_MESSAGE_BYTES) throw protocolViolationError('message length');
    const message = this.take(length + 1);
    if (message === undefined) return undefined;
    const type = String.fromCharCode(message[0] ?? 0);
    return { type, body: message.subarray(TYPED_HEADER_BYTES) };
  }

  private peekLength(offset: number): number | undefined {
    if (this.size < offset + STARTUP_HEADER_BYTES) return undefined;
    if ((this.chunks[0]?.length ?? 0) < offset + STARTUP_HEADER_BYTES) this.join();
    return this.chunks[0]?.readInt32BE(offset);
  }

  private take(length: number): Buffer | undefined {
    if (this.size < length) return undefined;
    if ((this.chunks[0]?.length ?? 0) < length) this.join();
    const [first] = this.chunks;
    if (first === undefined) return undefined;
    if (first.length === length) this.chunks.shift();
    else this.chunks[0] = first.subarray(length);
    this.size -= length;
    return first.subarray(0, length);
  }

  private join(): void {
    this.chunks = [Buffer.concat(this.chunks)];
  }
}

export function protocolViolationError(what: string): ServerError {
  return new ServerError(ServerSqlState.PROTOCOL_VIOLATION, `invalid ${what}`);
}

function createReader(body: Buffer): BufferReader {
  const bufferReader = new BufferReader();
  bufferReader.setBuffer(0, body);
  return bufferReader;
}

export function readStartupParameters(body: Buffer): Map<string, string> {
  const parameters = new Map<string, string>();
  const fields = body.toString('utf8').split('\0');
  for (let index = 0; index + 1 < fields.length && fields[index] !== ''; index += 2) {
    parameters.set(fields[index] ?? '', fields[index + 1] ?? '');
  }
  return parameters;
}

export function readText(body: Buffer): string {
  return body.toString('utf8', 0, Math.max(0, body.length - 1));
}

export interface ParseMessage {
  readonly name: string;
  readonly text: string;
  readonly parameterOids: readonly number[];
}

export function readParse(body: Buffer): ParseMessage {
  const input = createReader(body);
  const name = input.cstring();
  const text = input.cstring();
  const parameterOids = readMany(input.int16(), () => input.uint32());
  return { name, text, parameterOids };
}

export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  readonly parameterFormats: readonly number[];
  /** Null represents SQL NULL. */
  readonly parameters: readonly (Buffer | null)[];
  readonly resultFormats: readonly number[];
}

export function readBind(body: Buffer): BindMessage {
  const input = createReader(body);
  const portal = input.cstring();
  const statement = input.cstring();
  const parameterFormats = readMany(input.int16(), () => input.int16());
  const parameters = readMany(input.int16(), () => readParameter(input));
  const resultFormats = readMany(input.int16(), () => input.int16());
  return { portal, statement, parameterFormats, parameters, resultFormats };
}

function readParameter(input: BufferReader): Buffer | null {
  const length = input.int32();
  return length < 0 ? null : input.bytes(length);
}

export interface TargetMessage {
  readonly target: 'statement' | 'portal';
  readonly name: string;
}

/** Decodes the body of Describe and Close. */
export function readTarget(body: Buffer): TargetMessage {
  const target = body[0] === 'S'.charCodeAt(0) ? 'statement' : 'portal';
  return { target, name: readText(body.subarray(1)) };
}

export interface ExecuteMessage {
  readonly portal: string;
  /** Zero: all rows. */
  readonly maxRows: number;
}

export function readExecute(body: Buffer): ExecuteMessage {
  const input = createReader(body);
  return { portal: input.cstring(), maxRows: input.int32() };
}

function readMany<T>(count: number, read: () => T): T[] {
  const items: T[] = [];
  for (let index = 0; index < count; index += 1) items.push(read());
  return items;
}
