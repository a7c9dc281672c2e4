/** TCP and TLS towards a back end, before any message of the protocol proper. */
import { connect, isIP, type Socket } from 'node:net';
import { connect as connectTls } from 'node:tls';
import { ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { BackendConnectError } from './errors.js';
import type { BackendConnectOptions, BackendTlsOptions } from './options.js';

const KEEP_ALIVE_DELAY_MS = 10_000;
/** The server's one-byte answers to SSLRequest. */
const TLS_ACCEPTED = 0x53;
const TLS_DECLINED = 0x4e;

/** Opens the socket, with TLS if asked for. Aborting the signal destroys it, now or later. */
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

function unreachable(cause: unknown): BackendConnectError {
  const message = cause instanceof Error ? cause.message : 'the connection failed';
  return new BackendConnectError('unreachable', message, undefined, { cause });
}

function toConnectError(cause: unknown): BackendConnectError {
  return cause instanceof BackendConnectError ? cause : unreachable(cause);
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
  return until(socket, 'connect').map(() => socket);
}

/** Waits for one event of a socket, or for its failure. */
function until(
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
      // A later error of the same socket must not end the process.
      socket.on('error', () => undefined);
      reject(error);
    };
    const close = (): void => fail(new Error('closed by the other side'));
    socket.once(event, done);
    socket.once('error', fail);
    socket.once('close', close);
  });
  return ResultAsync.fromPromise(happened, unreachable);
}

/** SSLRequest: the answer is a single byte, in clear text, and nothing may come behind it. */
function requestTls(socket: Socket): ResultAsync<void, BackendConnectError> {
  const answered = new Promise<void>((resolve, reject) => {
    const settle = (): void => {
      socket.off('data', take);
      socket.off('error', fail);
      socket.off('close', close);
    };
    const take = (answer: Buffer): void => {
      settle();
      const error = tlsAnswerError(answer);
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
    socket.once('data', take);
    socket.once('error', fail);
    socket.once('close', close);
    socket.write(serialize.requestSsl());
  });
  return ResultAsync.fromPromise(answered, toConnectError);
}

function tlsAnswerError(answer: Buffer): BackendConnectError | undefined {
  if (answer.length === 1 && answer[0] === TLS_ACCEPTED) return undefined;
  if (answer[0] === TLS_DECLINED) {
    return new BackendConnectError('protocol', 'the back end does not offer TLS');
  }
  // Bytes behind the answer came unencrypted: someone in between may have put them there.
  return new BackendConnectError('protocol', 'the answer to SSLRequest is not lawful');
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
  return until(secured, 'secureConnect')
    .map((): Socket => secured)
    .mapErr((error) => {
      socket.destroy();
      return error;
    });
}
