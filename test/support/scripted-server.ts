/** A fake PostgreSQL instance scripted message by message, for behaviour that a real one would not show. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import type { TransactionStatus } from '../../src/postgres/contract.js';
import { FrameReader } from '../../src/postgres/frames.js';
import * as messages from '../../src/postgres/messages.js';

const STARTUP_LENGTH_BYTES = 4;
const CODE_OFFSET_BYTES = 4;
const SSL_REQUEST_CODE = 80_877_103;
const CANCEL_REQUEST_CODE = 80_877_102;
const AUTHENTICATION_OK = 0;

export const SCRIPTED_PROCESS_ID = 77;
export const SCRIPTED_SECRET_KEY = -1234;

/** One frontend message. */
export interface FrontendMessage {
  readonly type: string;
  readonly payload: Buffer;
}

/** A connection whose start-up message has been read. */
export interface ScriptedConnection {
  readonly socket: Socket;
  /** Start-up parameters, alternating names and values. */
  readonly startup: readonly string[];
  /** The next message of the client. */
  next(): Promise<FrontendMessage>;
  /** Reads up to and including the first message of this type; returns the types read. */
  readUntil(type: string): Promise<string>;
  send(...parts: readonly Buffer[]): void;
}

/** Handlers of the server; all are optional. */
export interface ScriptHandlers {
  /** Called after the start-up message. */
  readonly onSession?: (connection: ScriptedConnection) => Promise<void>;
  /** CancelRequest: process id and key. */
  readonly onCancel?: (processId: number, secretKey: number, socket: Socket) => void;
  /** SSLRequest: answers on the raw socket. */
  readonly onSslRequest?: (socket: Socket) => void;
}

export interface ScriptedServer {
  readonly port: number;
  close(): void;
}

export async function startScriptedServer(handlers: ScriptHandlers): Promise<ScriptedServer> {
  const sockets = new Set<Socket>();
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    readStartup(socket, handlers);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { port, close };
}

function readStartup(socket: Socket, handlers: ScriptHandlers): void {
  let received: Buffer = Buffer.alloc(0);
  const receive = (chunk: Buffer): void => {
    received = Buffer.concat([received, chunk]);
    if (received.length < STARTUP_LENGTH_BYTES) return;
    const length = received.readInt32BE(0);
    if (received.length < length) return;
    const message = received.subarray(0, length);
    received = received.subarray(length);
    const code = message.readInt32BE(CODE_OFFSET_BYTES);
    if (code === SSL_REQUEST_CODE) {
      handlers.onSslRequest?.(socket);
      return;
    }
    socket.off('data', receive);
    if (code === CANCEL_REQUEST_CODE) {
      handlers.onCancel?.(message.readInt32BE(8), message.readInt32BE(12), socket);
      return;
    }
    const startup = message.toString('utf8', 8).split('\0');
    void handlers
      .onSession?.(createConnection(socket, startup))
      .catch((error) => socket.destroy(error));
  };
  socket.on('data', receive);
}

function createConnection(socket: Socket, startup: readonly string[]): ScriptedConnection {
  const queue: FrontendMessage[] = [];
  let wake: (() => void) | undefined;
  const reader = new FrameReader((type, buffer, start, end) => {
    queue.push({ type: String.fromCharCode(type), payload: buffer.subarray(start + 5, end) });
    wake?.();
  });
  socket.on('data', (chunk: Buffer) => {
    reader.push(chunk);
  });
  const next = async (): Promise<FrontendMessage> => {
    for (;;) {
      const message = queue.shift();
      if (message !== undefined) return message;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  };
  const readUntil = async (type: string): Promise<string> => {
    let types = '';
    while (!types.endsWith(type)) types += (await next()).type;
    return types;
  };
  const send = (...parts: readonly Buffer[]): void => {
    socket.write(Buffer.concat(parts));
  };
  return { socket, startup, next, readUntil, send };
}

/** Accepts the client without a password. */
export function acceptSession(connection: ScriptedConnection): void {
  connection.send(
    messages.authentication(AUTHENTICATION_OK),
    messages.parameterStatus('server_version', '16.0'),
    messages.backendKeyData(SCRIPTED_PROCESS_ID, SCRIPTED_SECRET_KEY),
    messages.readyForQuery('I'),
  );
}

/** DataRow of one text column. */
export function dataRow(value: string): Buffer {
  const bytes = Buffer.from(value);
  const row = Buffer.alloc(11);
  row.write('D');
  row.writeInt32BE(10 + bytes.length, 1);
  row.writeInt16BE(1, 5);
  row.writeInt32BE(bytes.length, 7);
  return Buffer.concat([row, bytes]);
}

/** RowDescription without columns, sufficient for a relay. */
export const ROW_DESCRIPTION = Buffer.from([0x54, 0, 0, 0, 6, 0, 0]);

export function ready(status: TransactionStatus = 'I'): Buffer {
  return messages.readyForQuery(status);
}
