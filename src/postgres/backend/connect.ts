/** Opens connections to back ends. */
import type { ResultAsync } from 'neverthrow';
import type { BackendConnection } from '../contract.js';
import { PostgresBackendConnection } from './connection.js';
import { BackendConnectError } from './errors.js';
import { openSocket } from './open-socket.js';
import type { BackendConnectOptions } from './options.js';
import { startSession } from './startup.js';

/** Opens and authenticates a connection; fails if that takes longer than `connectTimeoutMs` in total. */
export function connectBackend(
  options: BackendConnectOptions,
): ResultAsync<BackendConnection, BackendConnectError> {
  const controller = new AbortController();
  const timeout = setTimeout(() => controller.abort(), options.connectTimeoutMs);
  const { signal } = controller;
  return openSocket(options, signal)
    .andThen((socket) => startSession(socket, options))
    .map((session): BackendConnection => {
      clearTimeout(timeout);
      return new PostgresBackendConnection(session, options);
    })
    .mapErr((error) => {
      clearTimeout(timeout);
      return signal.aborted ? timeoutError(options.connectTimeoutMs, error) : error;
    });
}

function timeoutError(timeoutMs: number, cause: BackendConnectError): BackendConnectError {
  const message = `no ready connection within ${timeoutMs} ms`;
  return new BackendConnectError('timeout', message, undefined, { cause });
}
