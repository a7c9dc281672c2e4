/** Opens TCP and TLS connections to back ends, before the start-up message. */
import { connect, isIP, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import { ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { BackendConnectError } from './errors.js';
import type { BackendConnectOptions, BackendTlsOptions } from './options.js';

const KEEP_ALIVE_DELAY_MS = 10_000;
/** The server's one-byte responses to SSLRequest. */
const TLS_ACCEPTED = 0x53;
const TLS_DECLINED = 0x4e;

/** Opens a socket, with TLS if configured. Aborting the signal destroys it, even after it was opened. */
export function openSocket(
  options: BackendConnectOptions,
  signal: AbortSignal,
): ResultAsync<Socket, BackendConnectError> {
  const opened = openTcp(options, signal);
  const { tls } = options;
  if (tls === undefined) return opened;
  return opened.andThen((socket) =>
    requestTls(socket).andThen(() => startTls(socket, options.host, tls, signal)),
  );
}

function unreachableError(cause: unknown): BackendConnectError {
  const message = cause instanceof Error ? cause.message : 'the connection failed';
  return new BackendConnectError('unreachable', message, undefined, { cause });
}

function toConnectError(cause: unknown): BackendConnectError {
  return cause instanceof BackendConnectError ? cause : unreachableError(cause);
}

/** Destroys the socket when the signal aborts. */
function destroyOnAbort(socket: Socket, signal: AbortSignal): void {
  const abort = (): void => {
    socket.destroy(new Error('aborted'));
  };
  if (signal.aborted) abort();
  else {
    signal.addEventListener('abort', abort, { once: true });
    socket.once('close', () => signal.removeEventListener('abort', abort));
  }
}

function openTcp(
  options: BackendConnectOptions,
  signal: AbortSignal,
): ResultAsync<Socket, BackendConnectError> {
  const socket = connect({
    host: options.host,
    port: options.port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS,
  });
  destroyOnAbort(socket, signal);
  return waitForEvent(socket, 'connect').map(() => socket);
}

/** Waits for an event of a socket; fails if the socket fails or closes first. */
function waitForEvent(
  socket: Socket,
  event: 'connect' | 'secureConnect',
): ResultAsync<void, BackendConnectError> {
  const happened = new Promise<void>((resolve, reject) => {
    const settle = (): void => {
      socket.off('error', fail);
      socket.off('close', close);
      socket.off(event, done);
    };
    const done = (): void => {
      settle();
      resolve();
    };
    const fail = (error: Error): void => {
      settle();
      // Without a listener, a later error of this socket would end the process.
      socket.on('error', () => undefined);
      reject(error);
    };
    const close = (): void => fail(new Error('closed by the other side'));
    socket.once(event, done);
    socket.once('error', fail);
    socket.once('close', close);
  });
  return ResultAsync.fromPromise(happened, unreachableError);
}

/** Sends SSLRequest. The response is a single unencrypted byte, and nothing may follow it. */
function requestTls(socket: Socket): ResultAsync<void, BackendConnectError> {
  const negotiated = new Promise<void>((resolve, reject) => {
    const settle = (): void => {
      socket.off('data', receive);
      socket.off('error', fail);
      socket.off('close', close);
    };
    const receive = (response: Buffer): void => {
      settle();
      const error = tlsResponseError(response);
      if (error === undefined) resolve();
      else fail(error);
    };
    const fail = (error: Error): void => {
      settle();
      socket.on('error', () => undefined);
      socket.destroy();
      reject(error);
    };
    const close = (): void => fail(new Error('closed by the other side'));
    socket.once('data', receive);
    socket.once('error', fail);
    socket.once('close', close);
    socket.write(serialize.requestSsl());
  });
  return ResultAsync.fromPromise(negotiated, toConnectError);
}

function tlsResponseError(response: Buffer): BackendConnectError | undefined {
  if (response.length === 1 && response[0] === TLS_ACCEPTED) return undefined;
  if (response[0] === TLS_DECLINED) {
    return new BackendConnectError('protocol', 'the back end does not offer TLS');
  }
  // Further bytes were sent unencrypted, so a man in the middle may have inserted them.
  return new BackendConnectError('protocol', 'invalid response to SSLRequest');
}

function startTls(
  socket: Socket,
  host: string,
  options: BackendTlsOptions,
  signal: AbortSignal,
): ResultAsync<Socket, BackendConnectError> {
  const secured = connectTls({
    socket,
    host,
    servername: options.serverName ?? (isIP(host) === 0 ? host : ''),
    ca: options.authorities,
    rejectUnauthorized: options.verify ?? true,
    minVersion: 'TLSv1.2',
  });
  destroyOnAbort(secured, signal);
  return waitForEvent(secured, 'secureConnect')
    .map((): Socket => secured)
    .mapErr((error) => {
      socket.destroy();
      return error;
    });
}
